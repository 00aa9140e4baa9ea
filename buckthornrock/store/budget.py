"""Keeps the calls of this instance within its share of the fleet's budget.

Pure: the caller gives the time and does the waiting. Urgent kinds of calls may use
every token; the others leave a reserve for them.
"""

from typing import Literal, NamedTuple

Urgency = Literal["urgent", "normal", "bulk"]

#: Share of a full bucket that a call of this urgency leaves for more urgent ones.
RESERVED_SHARE: dict[Urgency, float] = {"urgent": 0.0, "normal": 0.1, "bulk": 0.4}
MIN_BURST_CALLS = 8.0
#: A bucket starts with few tokens, so that a herd of restarts makes no burst.
START_CALLS = 3.0


class CallKind(NamedTuple):
    """What calls are counted as, and how urgent they are."""

    name: str
    urgency: Urgency


LEASE_KIND = CallKind("lease", "urgent")
OTHER_KIND = CallKind("other", "normal")

#: Kinds of calls by the first segment of the key.
KIND_OF_SEGMENT: dict[str, CallKind] = {
    "profiles": CallKind("profiles", "urgent"),
    "profile-history": CallKind("profile_history", "normal"),
    "instances": LEASE_KIND,
    "idempotency": CallKind("idempotency", "urgent"),
    "orders": CallKind("orders", "normal"),
    "placement": CallKind("placement", "normal"),
    "jobs": CallKind("deferred", "bulk"),
    "deferred": CallKind("deferred", "bulk"),
}


def kind_of(key: str) -> CallKind:
    """Return the kind of a call for ``key`` or for a prefix."""
    return KIND_OF_SEGMENT.get(key.partition("/")[0], OTHER_KIND)


class TokenBucket:
    """Tokens that come back at a rate that may change."""

    def __init__(self, rate_per_s: float, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._filled_at_ms = now_ms
        self._n_tokens = min(START_CALLS, self._capacity())

    def set_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Change the rate from now on."""
        self._fill(now_ms)
        self._rate_per_s = rate_per_s
        self._n_tokens = min(self._n_tokens, self._capacity())

    def take(self, urgency: Urgency, now_ms: float) -> float:
        """Take a token, or return how many milliseconds to wait before asking again.

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
        return max(MIN_BURST_CALLS, self._rate_per_s)

    def _fill(self, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._filled_at_ms) / 1000.0
        self._filled_at_ms = now_ms
        n_tokens = self._n_tokens + elapsed_s * self._rate_per_s
        self._n_tokens = min(self._capacity(), n_tokens)


class Budget:
    """The buckets of this instance's reads and writes.

    Parameters
    ----------
    fleet_reads_per_s, fleet_writes_per_s : float
        Budget of the whole fleet.
    now_ms : float
        Time of the start.
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
        """Take one call, or return how many milliseconds to wait first."""
        return self._buckets[access].take(urgency, now_ms)
