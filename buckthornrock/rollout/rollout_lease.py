"""The lease that lets one instance at a time send orders, and its fencing number."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..store.errors import KvUnavailable
from ..store.kv_port import (
    CommitDone,
    Compare,
    KvEntry,
    Put,
    StorePort,
    Transaction,
)

HOLDER_KEY = "rollout/holder"
#: Outlives the lease, so that a new holder knows whether another instance held it.
LAST_HOLDER_KEY = "rollout/last-holder"
#: The lease is renewed after this share of its time to live.
RENEWAL_SHARE = 0.3
#: Time that must remain until the lease expires when an action under it begins.
ACT_MARGIN_MS = 900.0


class HeldLease(NamedTuple):
    """The lease that this instance holds.

    Expiry counts from when the request was sent, so it is never after the store's.
    ``may_act_from_ms`` separates the orders from those of the previous holder.
    """

    lease_id: int
    ttl_ms: float
    fence: int
    expires_at_ms: float
    renew_at_ms: float
    may_act_from_ms: float


class RolloutLease:
    """Acquires and renews the lease; calls to the store block.

    Parameters
    ----------
    store : StorePort
        The store.
    instance_id : str
        Name of this instance.
    ttl_ms : float
        Time to live that is requested.
    handover_ms : float
        Minimum time between the orders of two holders.
    now_ms : callable
        Monotonic clock in milliseconds that keeps counting while suspended.
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
        """Return whether an action that takes under ``ACT_MARGIN_MS`` may begin now."""
        now_ms = self._now_ms()
        held = self._held
        if held is None or now_ms < held.may_act_from_ms:
            return False
        return now_ms + ACT_MARGIN_MS < held.expires_at_ms

    def is_held(self) -> bool:
        """Return whether this instance holds the lease."""
        return self._held is not None and self._now_ms() < self._held.expires_at_ms

    def step(self) -> None:
        """Acquire the lease if it is free, or renew it if that is due."""
        if self._held is not None and not self.is_held():
            self._held = None
        if self._held is None:
            self._acquire()
            return
        if self._now_ms() >= self._held.renew_at_ms:
            self._renew(self._held)

    def release(self) -> None:
        """Revoke the lease, so that another instance can acquire it at once."""
        held, self._held = self._held, None
        if held is not None:
            self._store.revoke_lease(held.lease_id)

    def get(self, key: str) -> Result[KvEntry | None, KvUnavailable]:
        """Return an entry of the store, None if it does not exist."""
        return self._store.get(key)

    def put(self, key: str, value: bytes) -> bool:
        """Write a value under the lease; return whether it was certainly written."""
        held = self._held
        if held is None:
            return False
        transaction = Transaction(
            (Compare(HOLDER_KEY, held.fence),), (Put(key, value),)
        )
        return isinstance(self._store.commit(transaction), CommitDone)

    def _acquire(self) -> None:
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
            may_act_from_ms=sent_at_ms if is_first else self._handover_end_ms(),
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

    def _handover_end_ms(self) -> float:
        return self._now_ms() + self._handover_ms

    def _name(self) -> bytes:
        return f"/{self._instance_id}".encode()
