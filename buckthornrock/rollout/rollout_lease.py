"""The lease that lets one instance give orders, and its fencing number."""

from collections.abc import Callable
from typing import NamedTuple

from ..store.kv_port import (
    CommitDone,
    Compare,
    Put,
    StorePort,
    Transaction,
)

HOLDER_KEY = "rollout/holder"
#: Survives the lease, so that a new holder knows whether another one was before it.
LAST_HOLDER_KEY = "rollout/last-holder"
#: Share of the lease after which it is renewed.
RENEWAL_SHARE = 0.3
#: Left of the lease when an act under it is begun.
ACT_MARGIN_MS = 900.0


class HeldLease(NamedTuple):
    """A lease as this instance may rely on it.

    ``may_act_from_ms`` keeps the distance to the orders of the holder before.
    """

    lease_id: int
    ttl_ms: float
    fence: int
    expires_at_ms: float
    renew_at_ms: float
    may_act_from_ms: float


class RolloutLease:
    """Takes and renews the lease; every call blocks for the store.

    Parameters
    ----------
    store : StorePort
        The store.
    instance_id : str
        Name of this instance.
    ttl_ms : float
        Time to live that is asked for.
    handover_ms : float
        Distance between orders of two holders.
    now_ms : callable
        Monotonic milliseconds that count through suspensions.
    """

    def __init__(
        self,
        store: StorePort,
        instance_id: str,
        ttl_ms: float,
        handover_ms: float,
        now_ms: Callable[[], float],
    ) -> None:
        self._store = store
        self._instance_id = instance_id
        self._ttl_ms = ttl_ms
        self._handover_ms = handover_ms
        self._now_ms = now_ms
        self._held: HeldLease | None = None

    @property
    def fence(self) -> int:
        """Fencing number of the held lease, 0 without one."""
        return self._held.fence if self._held else 0

    def may_act(self) -> bool:
        """Return whether an act that takes under a second may begin now."""
        now_ms = self._now_ms()
        held = self._held
        if held is None or now_ms < held.may_act_from_ms:
            return False
        return now_ms + ACT_MARGIN_MS < held.expires_at_ms

    def is_held(self) -> bool:
        """Return whether the lease is held."""
        return self._held is not None and self._now_ms() < self._held.expires_at_ms

    def step(self) -> None:
        """Take the lease if it is free, or renew it if it is time to."""
        if self._held is not None and not self.is_held():
            self._held = None
        if self._held is None:
            self._take()
            return
        if self._now_ms() >= self._held.renew_at_ms:
            self._renew(self._held)

    def release(self) -> None:
        """End the lease, so that another instance may take it at once."""
        held, self._held = self._held, None
        if held is not None:
            self._store.revoke_lease(held.lease_id)

    def _take(self) -> None:
        current = self._store.get(HOLDER_KEY)
        if current.is_error() or current.ok is not None:
            return
        last = self._store.get(LAST_HOLDER_KEY)
        if last.is_error():
            return
        sent_at_ms = self._now_ms()
        lease = self._store.grant_lease(self._ttl_ms / 1000.0)
        if lease.is_error():
            return
        outcome = self._store.commit(self._claim(lease.ok.lease_id, last.ok))
        if not isinstance(outcome, CommitDone):
            self._store.revoke_lease(lease.ok.lease_id)
            return
        ttl_ms = lease.ok.ttl_s * 1000.0
        is_first = last.ok is None or last.ok.value.endswith(self._name())
        self._held = HeldLease(
            lease_id=lease.ok.lease_id,
            ttl_ms=ttl_ms,
            fence=outcome.revision,
            expires_at_ms=sent_at_ms + ttl_ms,
            renew_at_ms=sent_at_ms + ttl_ms * RENEWAL_SHARE,
            may_act_from_ms=sent_at_ms if is_first else self._next_act_ms(),
        )

    def _claim(self, lease_id: int, last) -> Transaction:
        last_revision = last.mod_revision if last is not None else 0
        return Transaction(
            (Compare(HOLDER_KEY, 0), Compare(LAST_HOLDER_KEY, last_revision)),
            (
                Put(HOLDER_KEY, self._name(), lease_id),
                Put(LAST_HOLDER_KEY, self._name()),
            ),
        )

    def _renew(self, held: HeldLease) -> None:
        sent_at_ms = self._now_ms()
        renewed = self._store.keep_alive(held.lease_id)
        if renewed.is_error():
            is_gone = renewed.error.code == "lease-gone"
            self._held = None if is_gone else self._held
            return
        if not self.is_held():
            return
        ttl_ms = renewed.ok * 1000.0
        self._held = held._replace(
            expires_at_ms=sent_at_ms + ttl_ms,
            renew_at_ms=sent_at_ms + ttl_ms * RENEWAL_SHARE,
        )

    def _next_act_ms(self) -> float:
        return self._now_ms() + self._handover_ms

    def _name(self) -> bytes:
        return f"/{self._instance_id}".encode()
