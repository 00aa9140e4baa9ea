"""Leases that end the retention of records without anybody sweeping them.

Records hang on a lease that is never kept alive. An instance takes a new lease every
:data:`ROTATION_MS`, so a record is kept for the retention and at most that much longer,
and the key-value service removes it. That costs one call an instance and hour.
"""

from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..store.errors import KvUnavailable

ROTATION_MS = 3_600_000.0


class _Held(NamedTuple):
    """A lease in use and when it was asked for."""

    lease_id: int
    asked_at_ms: float


class RetentionLease:
    """The lease that new records hang on.

    Parameters
    ----------
    grant : callable
        ``grant(ttl_s) -> Result[LeaseGrant, KvUnavailable]``.
    retention_s : int
        How long a record is kept at least.
    """

    def __init__(self, grant: Callable[[int], Result], retention_s: int) -> None:
        self._grant = grant
        self._ttl_s = retention_s + int(ROTATION_MS / 1000.0)
        self._held: _Held | None = None

    def current(self, now_ms: float) -> Result[int, KvUnavailable]:
        """Return the lease of new records, taking a new one when it is time."""
        held = self._held
        if held is not None and now_ms - held.asked_at_ms < ROTATION_MS:
            return Ok(held.lease_id)
        granted = self._grant(self._ttl_s)
        if granted.is_error():
            return Error(granted.error)
        self._held = _Held(granted.ok.lease_id, now_ms)
        return Ok(granted.ok.lease_id)

    def forget(self) -> None:
        """Take a new lease next time: the service may have lost this one."""
        self._held = None
