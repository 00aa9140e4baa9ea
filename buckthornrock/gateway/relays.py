"""Decides which peers an instance sends digests to. Does no I/O.

In a small fleet every instance sends to every other one. In a larger fleet each failure
domain has relays. Every other instance follows one of them: it sends its own work to
that relay. A relay and its followers are a group. Relays send the work of their groups
to each other, and each relay sends its followers the work of all other instances. A
relay's traffic grows with the square root of the fleet's size; a follower's traffic
does not grow.

Instances choose relays by rendezvous hashing over the instances that they know, and
need not agree. An instance that has followers acts as a relay even if its own plan does
not make it one. An instance that is mistaken for a relay replies with the relay that it
follows.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..runtime import rendezvous
from ..wire.digests import Scope
from .peer_view import Member

#: In fleets up to this size every instance sends to all others, without relays.
MAX_DIRECT_FLEET = 12
RELAY_KEY = b"relays"
#: A peer without a digest for this long is no longer a follower or known relay.
CONTACT_LIFETIME_MS = 1_500.0
#: A relay that sends no digest for this many periods is considered failed.
N_SILENT_PERIODS = 5
#: A failed relay is chosen again only if some instance hears from it later than this
#: after the failure.
RELAY_COOLDOWN_MS = 10_000.0

MIN_PERIOD_MS = 60.0
#: The period grows with the fleet to bound the traffic of each instance.
PERIOD_MS_PER_INSTANCE = 1.2


class Contact(NamedTuple):
    """An instance to send a digest to, and the scope of that digest."""

    instance_id: str
    scope: Scope


def digest_period_ms(n_instances: int) -> float:
    """Return the period of digests in a fleet of this size."""
    return max(MIN_PERIOD_MS, n_instances * PERIOD_MS_PER_INSTANCE)


def plan_relays(members: Mapping[str, str]) -> dict[str, list[str]]:
    """Return the relays of each failure domain.

    ``members`` maps each known instance to its failure domain.
    """
    n_members = len(members)
    group_size = 1 if n_members <= MAX_DIRECT_FLEET else math.ceil(n_members**0.5)
    by_domain: dict[str, list[str]] = defaultdict(list)
    for instance_id, failure_domain in members.items():
        by_domain[failure_domain].append(instance_id)
    return {
        domain: rendezvous.rank(RELAY_KEY, ids)[: math.ceil(len(ids) / group_size)]
        for domain, ids in by_domain.items()
    }


class RelayTopology:
    """The relay that one instance follows, its followers and its peer relays.

    Parameters
    ----------
    instance_id : str
        This instance.
    failure_domain : str
        This instance's failure domain.
    """

    def __init__(self, instance_id: str, failure_domain: str) -> None:
        self._id = instance_id
        self._failure_domain = failure_domain
        self._domains: dict[str, str] = {instance_id: failure_domain}
        self._plan = plan_relays(self._domains)
        self._received_at_ms: dict[Scope, dict[str, float]] = defaultdict(dict)
        self._reported_relay_at_ms: dict[str, float] = {}
        self._relay = ""
        self._silent_since_ms: dict[str, float] = {}
        self._failed_at_ms: dict[str, float] = {}

    @property
    def relay(self) -> str:
        """The relay that this instance follows, "" if it is a relay itself."""
        return self._relay

    def update(self, members: Mapping[str, Member], now_ms: float) -> None:
        """Recompute the relays from the instances that are known."""
        self._expire_contacts(now_ms)
        self._fail_silent_relays(len(members), now_ms)
        domains = {
            instance_id: member.failure_domain
            for instance_id, member in members.items()
            if self._may_follow(instance_id, member)
        }
        if domains != self._domains:
            self._domains = domains
            self._plan = plan_relays(domains)
        if self._is_relay():
            self._relay = ""
            return
        choices = self._plan[self._failure_domain]
        if self._relay not in choices:
            self._relay = rendezvous.owner(self._id.encode(), choices)

    def relays_by_domain(self) -> Mapping[str, list[str]]:
        """Return the planned relays of each failure domain, in order of preference."""
        return self._plan

    def is_isolated(self) -> bool:
        """Return whether no digest of another instance was received for a while."""
        return not any(self._received_at_ms.values())

    def on_digest(
        self, instance_id: str, scope: Scope, relay: str, now_ms: float
    ) -> None:
        """Record a digest of an instance that follows ``relay``, "" for none."""
        self._failed_at_ms.pop(instance_id, None)
        self._silent_since_ms.pop(instance_id, None)
        if scope is Scope.PEER_LIST and relay not in ("", self._id):
            self._reported_relay_at_ms[relay] = now_ms
        if scope in (Scope.PEER_REQUEST, Scope.PEER_LIST):
            return
        for received in self._received_at_ms.values():
            received.pop(instance_id, None)
        self._received_at_ms[scope][instance_id] = now_ms

    def sources(self) -> set[str]:
        """Return the instances whose digests together cover the work of the fleet."""
        if self._relay:
            return {self._relay} & self._received_at_ms[Scope.OTHERS].keys()
        return self.followers() | self._received_at_ms[Scope.GROUP].keys()

    def contacts(self, now_ms: float) -> list[Contact]:
        """Return the recipients of this instance's digest now, each with its scope."""
        if self._relay:
            self._await_digests([self._relay], now_ms)
            return [Contact(self._relay, Scope.OWN)]
        followers = self.followers()
        relays = {relay for relays in self._plan.values() for relay in relays}
        relays |= (
            self._received_at_ms[Scope.GROUP].keys() | self._reported_relay_at_ms.keys()
        )
        relays -= followers | {self._id}
        self._await_digests(relays, now_ms)
        return [
            *(Contact(follower, Scope.OTHERS) for follower in sorted(followers)),
            *(Contact(relay, Scope.GROUP) for relay in sorted(relays)),
        ]

    def followers(self) -> set[str]:
        """Return the instances that follow this one."""
        return set(self._received_at_ms[Scope.OWN])

    def _is_relay(self) -> bool:
        planned = self._plan[self._failure_domain]
        return self._id in planned or bool(self.followers())

    def _may_follow(self, instance_id: str, member: Member) -> bool:
        failed_at_ms = self._failed_at_ms.get(instance_id)
        if failed_at_ms is None or instance_id == self._id:
            return True
        return member.seen_at_ms > failed_at_ms + RELAY_COOLDOWN_MS

    def _await_digests(self, relays: Iterable[str], now_ms: float) -> None:
        """Start waiting for digests of these relays, and stop waiting for others."""
        self._silent_since_ms = {
            relay: self._silent_since_ms.get(relay, now_ms) for relay in relays
        }

    def _fail_silent_relays(self, n_members: int, now_ms: float) -> None:
        limit_ms = N_SILENT_PERIODS * digest_period_ms(n_members)
        for relay, since_ms in list(self._silent_since_ms.items()):
            if now_ms - since_ms > limit_ms:
                self._failed_at_ms[relay] = now_ms
                del self._silent_since_ms[relay]

    def _expire_contacts(self, now_ms: float) -> None:
        for received in (*self._received_at_ms.values(), self._reported_relay_at_ms):
            for instance_id, at_ms in list(received.items()):
                if now_ms - at_ms > CONTACT_LIFETIME_MS:
                    del received[instance_id]
