"""Keeps one lease of the key-value service and tells whether it is still held.

The expiry counts from the moment before each request was sent, on a clock that goes on
during pauses and suspensions. The holder therefore considers the lease expired no later
than the service does, unless the service itself drops leases early; writes that must be
safe even then compare :meth:`LeaseHolder.guard` in the same transaction.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

from ..events import platform as events
from ..telemetry import Telemetry
from .errors import LeaseGone
from .kv_port import CommitDone, Compare, KvPort, Put, Transaction

#: Share of its time to live after which a lease is renewed.
RENEWAL_SHARE = 0.4
#: Default allowance for the time between the check of a lease and the effect of the
#: action that depends on it.
DEFAULT_MARGIN_MS = 1_000.0


class LeaseState(NamedTuple):
    """What is known about the lease.

    ``epoch`` rises with every grant, so that a user notices a loss that occurred
    between two of its checks. ``lease_id`` 0 means that no lease is held.
    """

    lease_id: int = 0
    ttl_ms: float = 0.0
    expires_at_ms: float = 0.0
    renew_at_ms: float = 0.0
    epoch: int = 0
    guard_revision: int = 0

    def holds(self, now_ms: float, margin_ms: float = 0.0) -> bool:
        """Return whether the lease is held for another ``margin_ms``."""
        return self.lease_id != 0 and now_ms + margin_ms < self.expires_at_ms

    def granted(self, lease_id: int, ttl_ms: float, sent_at_ms: float) -> "LeaseState":
        """Return the state after a grant that was requested at ``sent_at_ms``."""
        state = LeaseState(lease_id=lease_id, epoch=self.epoch + 1)
        return state.renewed(ttl_ms, sent_at_ms)

    def renewed(self, ttl_ms: float, sent_at_ms: float) -> "LeaseState":
        """Return the state after a renewal that was requested at ``sent_at_ms``."""
        return self._replace(
            ttl_ms=ttl_ms,
            expires_at_ms=sent_at_ms + ttl_ms,
            renew_at_ms=sent_at_ms + ttl_ms * RENEWAL_SHARE,
        )

    def lost(self) -> "LeaseState":
        """Return the state without a lease."""
        return LeaseState(epoch=self.epoch)


class LeaseHolder:
    """Obtains and renews a lease, and replaces a lost one, in :meth:`step`.

    Parameters
    ----------
    kv : KvPort
        The key-value service.
    ttl_s : int
        Requested time to live.
    now_ms : callable
        Monotonic clock that goes on during suspensions.
    telemetry : Telemetry
        Receives the log events of grants and losses.
    guard_key : str
        Key that is bound to the lease, "" for none.
    guard_value : bytes
        Value of that key.
    """

    def __init__(
        self,
        kv: KvPort,
        ttl_s: int,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
        guard_key: str = "",
        guard_value: bytes = b"",
    ) -> None:
        self._kv = kv
        self._ttl_s = ttl_s
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._guard_key = guard_key
        self._guard_value = guard_value
        self._state = LeaseState()
        self._step_lock = threading.Lock()
        self._closed = False

    @property
    def lease_id(self) -> int:
        """The held lease, or 0; check :meth:`holds` before each use."""
        return self._state.lease_id

    @property
    def epoch(self) -> int:
        """Number of grants so far."""
        return self._state.epoch

    def holds(self, now_ms: float, margin_ms: float = DEFAULT_MARGIN_MS) -> bool:
        """Return whether the lease is held for ``margin_ms`` from ``now_ms`` on.

        Read the clock immediately before the action, and again after each wait.
        """
        return self._state.holds(now_ms, margin_ms)

    def guard(self) -> Compare | None:
        """Return a comparison that succeeds only while this lease exists."""
        state = self._state
        if not state.lease_id or not self._guard_key:
            return None
        return Compare(self._guard_key, state.guard_revision)

    def step(self) -> None:
        """Obtain or renew the lease, if that is due."""
        with self._step_lock:
            now_ms = self._now_ms()
            if self._closed:
                return
            if self._state.lease_id and not self._state.holds(now_ms):
                self._mark_lost("lapsed")
            if not self._state.lease_id:
                self._grant()
            elif now_ms >= self._state.renew_at_ms:
                self._renew()

    def close(self) -> None:
        """Revoke the lease, which deletes the keys bound to it at once."""
        with self._step_lock:
            self._closed = True
            lease_id = self._state.lease_id
            self._state = self._state.lost()
        if lease_id:
            self._kv.revoke_lease(lease_id)

    def _grant(self) -> None:
        sent_at_ms = self._now_ms()
        grant = self._kv.grant_lease(self._ttl_s)
        if grant.is_error():
            return
        lease_id, ttl_s = grant.ok
        state = self._state.granted(lease_id, ttl_s * 1000.0, sent_at_ms)
        if self._guard_key:
            revision = self._write_guard(lease_id)
            if not revision:
                self._kv.revoke_lease(lease_id)
                return
            state = state._replace(guard_revision=revision)
        self._state = state
        self._telemetry.log(events.LEASE_GRANTED, lease_id=lease_id, ttl_s=ttl_s)

    def _write_guard(self, lease_id: int) -> int:
        """Bind the guard key to the lease; return its revision, 0 on failure."""
        found = self._kv.get(self._guard_key)
        if found.is_error():
            return 0
        revision = found.ok.mod_revision if found.ok else 0
        put = Put(self._guard_key, self._guard_value, lease_id)
        compare = Compare(self._guard_key, revision)
        outcome = self._kv.commit(Transaction((compare,), (put,)))
        return outcome.revision if isinstance(outcome, CommitDone) else 0

    def _renew(self) -> None:
        lease_id = self._state.lease_id
        sent_at_ms = self._now_ms()
        renewal = self._kv.keep_alive(lease_id)
        if renewal.is_ok():
            # A late answer must not revive a lease that has expired meanwhile.
            if self._state.holds(self._now_ms()):
                self._state = self._state.renewed(renewal.ok * 1000.0, sent_at_ms)
            return
        if isinstance(renewal.error, LeaseGone):
            self._mark_lost("gone")

    def _mark_lost(self, reason: str) -> None:
        lease_id = self._state.lease_id
        self._state = self._state.lost()
        self._telemetry.log(events.LEASE_LOST, lease_id=lease_id, reason=reason)
        if reason == "lapsed":
            # The service may still have the lease, for example after this process was
            # paused.
            self._kv.revoke_lease(lease_id)
