"""Claims: which instance runs a segment's jobs.

A claim is a key bound to its holder's lease. Claims only avoid duplicate work. That a
job has exactly one result is ensured by comparing the revision of the outcomes.
"""

from collections.abc import Callable
from typing import NamedTuple

from ..store import Compare, Put
from .records import claim_key


class LeasePort(NamedTuple):
    """What deferred work needs of the instance's lease.

    Parameters
    ----------
    holds : callable
        ``holds() -> bool``; whether, by the monotonic clock, the lease is valid now and
        for a short time to come.
    lease_id : callable
        ``lease_id() -> int``.
    epoch : callable
        ``epoch() -> int``; increases with every new lease.
    guard : callable
        ``guard() -> Compare | None``; a comparison that succeeds only while the lease
        exists, or None without a lease.
    """

    holds: Callable[[], bool]
    lease_id: Callable[[], int]
    epoch: Callable[[], int]
    guard: Callable[[], Compare | None]


class ClaimLease(NamedTuple):
    """The lease under which a claim is made, as read at one moment."""

    holder: str
    lease_id: int
    epoch: int
    guard: Compare

    def put(self, segment_id: str) -> Put:
        """Return the write that claims a segment."""
        return Put(claim_key(segment_id), self.holder.encode(), self.lease_id)


def read_claim_lease(lease: LeasePort, holder: str) -> ClaimLease | None:
    """Return the lease for a claim made now, or None without a valid lease."""
    guard = lease.guard()
    if guard is None or not lease.holds():
        return None
    return ClaimLease(holder, lease.lease_id(), lease.epoch(), guard)
