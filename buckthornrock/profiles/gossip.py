"""Spreads accepted profiles by immediate pushes and periodic anti-entropy.

In each period an instance compares its profiles with one random peer.
"""

import random
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from expression import Result

from ..events import profiles as events
from ..membership import MembershipPort
from ..telemetry import Telemetry
from ..wire import Message, PeerFailure
from ..wire.message import Ack
from ..wire.profile_messages import (
    ProfileFetch,
    ProfileOrders,
    ProfilePush,
    ProfileStatusQuery,
    ProfileStatusReply,
    ProfileSummary,
)
from .encoding import from_wire, orders_from_wire, orders_to_wire, to_wire
from .port import InstanceStatus, ProfileRecord
from .table import ProfileTable

#: Number of peers that a new record is pushed to; each of them pushes it on once.
N_PUSH_TARGETS = 4
#: Maximum number of peers that are tried when some of them do not reply.
N_PUSH_ATTEMPTS = 8
N_PUSH_THREADS = 4
N_STATUS_THREADS = 16
ASK_TIMEOUT_MS = 500.0
SYNC_PERIOD_MS = 1_000.0
#: Number of peers that are asked for their version before a change is accepted.
N_FETCH_TARGETS = 4


class ProfileGossip:
    """Exchanges the records of a table with the other instances."""

    def __init__(
        self,
        table: ProfileTable,
        membership: MembershipPort,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._membership = membership
        self._telemetry = telemetry
        self._rng = rng
        self._pool = ThreadPoolExecutor(N_PUSH_THREADS, "profile-push")
        membership.subscribe(ProfilePush, self._on_push)
        membership.subscribe(ProfileSummary, self._on_summary)
        membership.subscribe(ProfileFetch, self._on_fetch)
        membership.subscribe(ProfileStatusQuery, self._on_status_query)

    def publish(self, record: ProfileRecord) -> None:
        """Push a new record to a few peers in the background."""
        self._telemetry.log(
            events.IN_FORCE,
            name=record.name,
            version=record.version,
            trust=record.trust,
        )
        message = ProfilePush((to_wire(record),))
        peers = self._sample_peers(N_PUSH_ATTEMPTS)
        # Each push tries its second peer only if the first one does not reply.
        for offset in range(min(N_PUSH_TARGETS, len(peers))):
            self._submit(
                self._push_to_first_reachable, message, peers[offset::N_PUSH_TARGETS]
            )

    def has_accepted_profile(self) -> bool:
        """Return whether any accepted profile is known here."""
        return bool(self._table.orders())

    def synchronise(self) -> None:
        """Compare versions with one random peer and exchange the newer records."""
        for peer in self._sample_peers(1):
            self._synchronise_with(peer)

    def fetch_from_peers(self, name: str) -> None:
        """Ask a few peers concurrently for their version of a profile."""
        peers = self._sample_peers(N_FETCH_TARGETS)
        replies = self._ask_all(peers, ProfileFetch((name,)))
        for reply in replies.values():
            if reply.is_ok() and isinstance(reply.ok, ProfilePush):
                self._offer_records(reply.ok)

    def status(self, name: str) -> tuple[InstanceStatus, ...]:
        """Return the version in force on each live instance."""
        own = self._on_status_query("", ProfileStatusQuery(name))
        own_id = self._membership.self_view().instance_id
        rows = [_status_of(own_id, own)]
        replies = self._ask_all(self._other_ids(), ProfileStatusQuery(name))
        rows += [_status_of(id_, r.default_value(None)) for id_, r in replies.items()]
        return tuple(sorted(rows, key=lambda row: row.instance_id))

    def close(self) -> None:
        """Stop the threads that push records."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _other_ids(self) -> list[str]:
        own_id = self._membership.self_view().instance_id
        ids = [view.instance_id for view in self._membership.live()]
        return [id_ for id_ in ids if id_ != own_id]

    def _sample_peers(self, n_peers: int) -> list[str]:
        other_ids = self._other_ids()
        return self._rng.sample(other_ids, min(n_peers, len(other_ids)))

    def _submit(self, function: Callable[..., None], *arguments: object) -> None:
        try:
            self._pool.submit(function, *arguments)
        except RuntimeError:
            # The pool is closed: the instance is stopping.
            return

    def _ask(self, peer: str, message: Message) -> Result[Message, PeerFailure]:
        return self._membership.ask(peer, message, ASK_TIMEOUT_MS)

    def _ask_all(
        self, peers: Iterable[str], message: Message
    ) -> dict[str, Result[Message, PeerFailure]]:
        peers = list(peers)
        if not peers:
            return {}
        with ThreadPoolExecutor(N_STATUS_THREADS, "profile-ask") as pool:
            replies = pool.map(lambda peer: self._ask(peer, message), peers)
            return dict(zip(peers, replies, strict=True))

    def _push_to_first_reachable(self, message: ProfilePush, peers: list[str]) -> None:
        for peer in peers:
            if self._ask(peer, message).is_ok():
                return

    def _synchronise_with(self, peer: str) -> None:
        reply = self._ask(peer, ProfileSummary(self._table.digest()))
        if reply.is_error() or isinstance(reply.ok, Ack):
            return
        theirs = orders_from_wire(reply.ok)
        missing = self._table.missing_from(theirs)
        if missing:
            fetched = self._ask(peer, ProfileFetch(tuple(missing)))
            if fetched.is_ok() and isinstance(fetched.ok, ProfilePush):
                self._offer_records(fetched.ok)
        newer = self._table.newer_than(theirs)
        if newer:
            self._ask(peer, ProfilePush(tuple(map(to_wire, newer))))

    def _offer_records(self, push: ProfilePush) -> None:
        for message in push.records:
            record = from_wire(message)
            if record.is_error():
                name, reason = record.error
                self._telemetry.log(events.UNREADABLE, name=name, reason=reason)
            elif self._table.offer(record.ok):
                self.publish(record.ok)

    def _on_push(self, sender_id: str, push: ProfilePush) -> None:
        self._offer_records(push)

    def _on_summary(
        self, sender_id: str, summary: ProfileSummary
    ) -> ProfileOrders | None:
        if summary.digest == self._table.digest():
            return None
        return orders_to_wire(self._table.orders())

    def _on_fetch(self, sender_id: str, fetch: ProfileFetch) -> ProfilePush:
        records = [self._table.get(name) for name in fetch.names]
        accepted = [r for r in records if r is not None and r.trust != "start"]
        return ProfilePush(tuple(map(to_wire, accepted)))

    def _on_status_query(
        self, sender_id: str, query: ProfileStatusQuery
    ) -> ProfileStatusReply:
        record = self._table.get(query.name)
        if record is None:
            return ProfileStatusReply()
        return ProfileStatusReply(record.version, record.trust)


def _status_of(instance_id: str, reply: Message | None) -> InstanceStatus:
    if not isinstance(reply, ProfileStatusReply):
        return InstanceStatus(instance_id, None, None)
    return InstanceStatus(instance_id, reply.version, reply.trust or None)
