"""Leases that end the retention of records, so that no cleanup job is needed.

Records are attached to a lease that is never kept alive. An instance requests a new
lease every :data:`ROTATION_MS`, so a record is kept for the retention and at most that
much longer; then the key-value service removes it. That costs one call per instance
and hour.
"""

from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..store.errors import KvUnavailable

ROTATION_MS = 3_600_000.0


class _GrantedLease(NamedTuple):
    """The lease in use and the time when it was requested."""

    lease_id: int
    requested_at_ms: float


class RetentionLease:
    """The lease that new records are attached to.

    Parameters
    ----------
    grant : callable
        ``grant(ttl_s) -> Result[LeaseGrant, KvUnavailable]``.
    retention_s : int
        Minimum time that a record is kept.
    """

    def __init__(self, grant: Callable[[int], Result], retention_s: int) -> None:
        self._grant = grant
        self._ttl_s = retention_s + int(ROTATION_MS / 1000.0)
        self._lease: _GrantedLease | None = None

    def current(self, now_ms: float) -> Result[int, KvUnavailable]:
        """Return the lease for new records; request a new one when rotation is due."""
        held = self._lease
        if held is not None and now_ms - held.requested_at_ms < ROTATION_MS:
            return Ok(held.lease_id)
        granted = self._grant(self._ttl_s)
        if granted.is_error():
            return Error(granted.error)
        self._lease = _GrantedLease(granted.ok.lease_id, now_ms)
        return Ok(granted.ok.lease_id)

    def forget(self) -> None:
        """Request a new lease next time: the service may have lost this one."""
        self._lease = None
