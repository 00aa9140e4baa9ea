"""Claims: which instance runs a segment's jobs.

A claim is bound to its holder's lease and spares work that would be done twice; that
a job has one result is ensured by comparing the outcomes' revision, not by claims.
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
        ``holds() -> bool``: by the monotonic clock, now and for a short while.
    lease_id : callable
        ``lease_id() -> int``.
    epoch : callable
        ``epoch() -> int``; rises with every new lease.
    guard : callable
        ``guard() -> Compare | None``: holds only while the lease exists.
    """

    holds: Callable[[], bool]
    lease_id: Callable[[], int]
    epoch: Callable[[], int]
    guard: Callable[[], Compare | None]


class ClaimLease(NamedTuple):
    """A lease to claim under, read at one moment."""

    holder: str
    lease_id: int
    epoch: int
    guard: Compare

    def put(self, segment_id: str) -> Put:
        """Return the write that claims a segment."""
        return Put(claim_key(segment_id), self.holder.encode(), self.lease_id)


def read_claim_lease(lease: LeasePort, holder: str) -> ClaimLease | None:
    """Return the terms of a claim made now, or None without a lease."""
    guard = lease.guard()
    if guard is None or not lease.holds():
        return None
    return ClaimLease(holder, lease.lease_id(), lease.epoch(), guard)
