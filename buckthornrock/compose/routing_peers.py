"""Wires what instances tell each other about routing."""

from ..membership import MembershipPort
from ..routing import PeerDigest, RoutingPort
from ..routing.directory import LevelSend, LevelView
from ..runtime.rendezvous import owner
from ..wire.routing_messages import LevelAnswer, LevelReport, RoutingDigest
from .core import Core, run_periodically
from .fleet import FleetParts

#: Peers that get one digest; a node's cost must not grow with the fleet.
DIGEST_FAN_OUT = 6
LEVEL_REPORT_PERIOD_MS = 250
LEVEL_REPORT_TIMEOUT_MS = 200


def start_digests(
    core: Core, fleet: FleetParts, routing: RoutingPort, membership: MembershipPort
) -> None:
    """Exchange digests of sends in flight and of leaving upstreams with peers."""

    def receive(sender_id: str, digest: RoutingDigest) -> None:
        peer_digest = PeerDigest(digest.n_tokens, digest.kept)
        routing.on_peer_digest(sender_id, peer_digest, core.clock.now_ms())
        fleet.fleet.note_leaving_by_peer(digest.leaving)

    def send() -> None:
        own = routing.digest(core.clock.now_ms())
        leaving = fleet.fleet.leaving_first_hand()
        if not own.n_tokens and not leaving and not own.kept:
            return
        digest = RoutingDigest(dict(own.n_tokens), leaving, tuple(own.kept))
        for instance_id in _some_peers(core, membership):
            membership.tell(instance_id, digest)

    membership.subscribe(RoutingDigest, receive)
    period_ms = core.settings.routing.digest_period_ms
    run_periodically(core, "routing.digests", send, period_ms)


def _some_peers(core: Core, membership: MembershipPort) -> list[str]:
    """Return the peers that one digest goes to: all, in a small fleet."""
    self_id = membership.self_view().instance_id
    peers = [v.instance_id for v in membership.live() if v.instance_id != self_id]
    return core.rng.sample(peers, min(len(peers), DIGEST_FAN_OUT))


def start_level_reports(
    core: Core, routing: RoutingPort, membership: MembershipPort
) -> None:
    """Report sends of prefix levels to the levels' owners and take in their views."""

    def receive(sender_id: str, report: LevelReport) -> LevelAnswer:
        sends = [LevelSend(*row) for row in report.sends]
        views = routing.on_level_sends(sends, core.clock.now_ms())
        return LevelAnswer(tuple(tuple(view) for view in views))

    def report() -> None:
        self_id = membership.self_view().instance_id
        for owner_id, sends in _by_owner(routing, membership).items():
            if owner_id == self_id:
                views = routing.on_level_sends(sends, core.clock.now_ms())
            else:
                views = _ask_owner(membership, owner_id, sends)
            routing.on_level_views(views, core.clock.now_ms())

    membership.subscribe(LevelReport, receive)
    run_periodically(core, "routing.levels", report, LEVEL_REPORT_PERIOD_MS)


def _by_owner(
    routing: RoutingPort, membership: MembershipPort
) -> dict[str, list[LevelSend]]:
    ids = [view.instance_id for view in membership.live()]
    by_owner: dict[str, list[LevelSend]] = {}
    for send in routing.take_level_sends():
        key = send.level_hash.to_bytes(8, "little")
        by_owner.setdefault(owner(key, ids), []).append(send)
    return by_owner


def _ask_owner(
    membership: MembershipPort, owner_id: str, sends: list[LevelSend]
) -> list[LevelView]:
    report = LevelReport(tuple(tuple(send) for send in sends))
    answer = membership.ask(owner_id, report, LEVEL_REPORT_TIMEOUT_MS)
    if answer.is_error():
        return []
    return [LevelView(*row) for row in answer.ok.views]
