"""Holds one lease of the key-value service and says whether it may be relied on.

The holder counts from the moment before each request was sent, on a clock that runs
on through pauses and suspensions. It therefore considers the lease lapsed no later
than the service does, unless the service itself drops leases early; acts that must
be safe even then compare :meth:`LeaseHolder.guard` in the same transaction.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

from ..events import platform as events
from ..telemetry import Telemetry
from .errors import LeaseGone
from .kv_port import CommitDone, Compare, KvPort, Put, Transaction

#: A lease is renewed after this share of its time to live.
RENEWAL_SHARE = 0.4
#: Time between an act's check and its effect that a check allows for by default.
MARGIN_MS = 1_000.0


class LeaseState(NamedTuple):
    """What is known about the lease.

    ``epoch`` rises with every grant, so that a user notices a loss that lay between
    two of its checks. ``lease_id`` 0 means that none is held.
    """

    lease_id: int = 0
    ttl_ms: float = 0.0
    expires_at_ms: float = 0.0
    renew_at_ms: float = 0.0
    epoch: int = 0
    guard_revision: int = 0

    def holds(self, now_ms: float, margin_ms: float = 0.0) -> bool:
        """Return whether the lease is held for ``margin_ms`` from now on."""
        return self.lease_id != 0 and now_ms + margin_ms < self.expires_at_ms

    def granted(self, lease_id: int, ttl_ms: float, sent_at_ms: float) -> "LeaseState":
        """Return the state after a grant that was asked for at ``sent_at_ms``."""
        state = LeaseState(lease_id=lease_id, epoch=self.epoch + 1)
        return state.renewed(ttl_ms, sent_at_ms)

    def renewed(self, ttl_ms: float, sent_at_ms: float) -> "LeaseState":
        """Return the state after a renewal that was asked for at ``sent_at_ms``."""
        return self._replace(
            ttl_ms=ttl_ms,
            expires_at_ms=sent_at_ms + ttl_ms,
            renew_at_ms=sent_at_ms + ttl_ms * RENEWAL_SHARE,
        )

    def lost(self) -> "LeaseState":
        """Return the state without a lease."""
        return LeaseState(epoch=self.epoch)


class LeaseHolder:
    """Grants, renews and re-grants a lease; :meth:`step` does the waiting.

    Parameters
    ----------
    kv : KvPort
        The key-value service.
    ttl_s : int
        Time to live that is asked for.
    now_ms : callable
        Monotonic milliseconds that count through suspensions.
    telemetry : Telemetry
        Receives grants and losses.
    guard_key : str
        A key that is bound to the lease, "" for none.
    guard_value : bytes
        Its value.
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
        """The held lease, or 0; check :meth:`holds` before each act."""
        return self._state.lease_id

    @property
    def epoch(self) -> int:
        """Number of grants so far."""
        return self._state.epoch

    def holds(self, now_ms: float, margin_ms: float = MARGIN_MS) -> bool:
        """Return whether the lease is held for ``margin_ms`` from ``now_ms`` on.

        Take the time immediately before the act, also after each wait.
        """
        return self._state.holds(now_ms, margin_ms)

    def guard(self) -> Compare | None:
        """Return a comparison that holds only while this lease exists."""
        state = self._state
        if not state.lease_id or not self._guard_key:
            return None
        return Compare(self._guard_key, state.guard_revision)

    def step(self) -> None:
        """Grant or renew, if it is time to."""
        with self._step_lock:
            now_ms = self._now_ms()
            if self._closed:
                return
            if self._state.lease_id and not self._state.holds(now_ms):
                self._lose("lapsed")
            if not self._state.lease_id:
                self._grant()
            elif now_ms >= self._state.renew_at_ms:
                self._renew()

    def close(self) -> None:
        """Give the lease back; what is bound to it goes at once."""
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
        """Bind the guard key to the lease; return its revision, 0 if it failed."""
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
            # A late answer must not bring a lapsed lease back to life.
            if self._state.holds(self._now_ms()):
                self._state = self._state.renewed(renewal.ok * 1000.0, sent_at_ms)
            return
        if isinstance(renewal.error, LeaseGone):
            self._lose("gone")

    def _lose(self, reason: str) -> None:
        lease_id = self._state.lease_id
        self._state = self._state.lost()
        self._telemetry.log(events.LEASE_LOST, lease_id=lease_id, reason=reason)
        if reason == "lapsed":
            # The service may still keep it, for example after a pause of this process.
            self._kv.revoke_lease(lease_id)
