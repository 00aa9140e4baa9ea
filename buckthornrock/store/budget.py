"""Rate limit: keeps this instance's calls within its share of the fleet's budget.

It does no I/O: the caller passes in the time and does the waiting. Urgent calls may use
every token of a bucket; the others leave a reserve for them.
"""

from typing import Literal, NamedTuple

Urgency = Literal["urgent", "normal", "bulk"]

#: Share of a full bucket that calls of this urgency leave for more urgent ones.
RESERVED_SHARE: dict[Urgency, float] = {"urgent": 0.0, "normal": 0.1, "bulk": 0.4}
MIN_CAPACITY_TOKENS = 8.0
#: A bucket starts with few tokens, so that many instances that restart at the same
#: time cause no burst.
INITIAL_TOKENS = 3.0


class CallKind(NamedTuple):
    """Name under which calls are counted, and their urgency."""

    name: str
    urgency: Urgency


LEASE_KIND = CallKind("lease", "urgent")
OTHER_KIND = CallKind("other", "normal")

#: Kind of a call by the first segment of its key.
KIND_OF_SEGMENT: dict[str, CallKind] = {
    "profiles": CallKind("profiles", "urgent"),
    "profile-history": CallKind("profile_history", "normal"),
    "instances": LEASE_KIND,
    "idempotency": CallKind("idempotency", "urgent"),
    "stewards": CallKind("leadership", "urgent"),
    "load-slots": CallKind("load_slots", "normal"),
    "orders": CallKind("orders", "normal"),
    "placement": CallKind("placement", "normal"),
    "jobs": CallKind("deferred", "bulk"),
    "deferred": CallKind("deferred", "bulk"),
}


def kind_of(key: str) -> CallKind:
    """Return the kind of a call for a key or a key prefix."""
    return KIND_OF_SEGMENT.get(key.partition("/")[0], OTHER_KIND)


class TokenBucket:
    """Token bucket whose refill rate may change."""

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._filled_at_ms = now_ms
        self._n_tokens = min(INITIAL_TOKENS, self._capacity())

    def set_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Change the refill rate from now on."""
        self._fill(now_ms)
        self._rate_per_s = rate_per_s
        self._n_tokens = min(self._n_tokens, self._capacity())

    def take(self, urgency: Urgency, now_ms: float) -> float:
        """Take a token, or return how many milliseconds to wait before trying again.

        Returns
        -------
        float
            0.0 if a token was taken.
        """
        self._fill(now_ms)
        needed = 1.0 + RESERVED_SHARE[urgency] * (self._capacity() - 1.0)
        if self._n_tokens >= needed:
            self._n_tokens -= 1.0
            return 0.0
        return (needed - self._n_tokens) / self._rate_per_s * 1000.0

    def _capacity(self) -> float:
        return max(MIN_CAPACITY_TOKENS, self._rate_per_s)

    def _fill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._filled_at_ms) / 1000.0
        self._filled_at_ms = now_ms
        n_tokens = self._n_tokens + elapsed_s * self._rate_per_s
        self._n_tokens = min(self._capacity(), n_tokens)


class Budget:
    """Token buckets for this instance's reads and writes.

    Parameters
    ----------
    fleet_reads_per_s, fleet_writes_per_s : float
        Budget of the whole fleet, shared evenly between the instances.
    now_ms : float
        Current time.
    """

    def __init__(
        self, fleet_reads_per_s: float, fleet_writes_per_s: float, now_ms: float
    ) -> None:
        self._fleet_rates = {"read": fleet_reads_per_s, "write": fleet_writes_per_s}
        self._n_instances = 1
        self._buckets = {
            access: TokenBucket(rate, now_ms)
            for access, rate in self._fleet_rates.items()
        }

    def set_fleet_size(self, n_instances: int, now_ms: float) -> None:
        """Divide the fleet's budget between ``n_instances``."""
        if n_instances == self._n_instances:
            return
        self._n_instances = n_instances
        for access, bucket in self._buckets.items():
            bucket.set_rate(self._fleet_rates[access] / n_instances, now_ms)

    def take(
        self, access: Literal["read", "write"], urgency: Urgency, now_ms: float
    ) -> float:
        """Take a token for one call, or return how many milliseconds to wait first."""
        return self._buckets[access].take(urgency, now_ms)
