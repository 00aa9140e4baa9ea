"""Token buckets that enforce one client account's rate limits at this instance."""

from typing import NamedTuple

#: A bucket's capacity is what its rate yields in this time. A request is admitted
#: whenever the level is above zero, so even a tiny capacity admits one request.
BURST_MS = 500.0


class Rates(NamedTuple):
    """Rates at which one instance may admit one client account's work."""

    requests_per_s: float
    tokens_per_s: float


class _Bucket:
    """A token bucket whose level may go below zero by one request."""

    def __init__(self, now_ms: float) -> None:
        self.level: float | None = None
        self.refilled_at_ms = now_ms

    def refill(self, rate_per_s: float, now_ms: float) -> None:
        capacity = rate_per_s * BURST_MS / 1000.0
        if self.level is None:
            self.level = capacity
        elapsed_ms = max(0.0, now_ms - self.refilled_at_ms)
        self.level = min(capacity, self.level + rate_per_s * elapsed_ms / 1000.0)
        self.refilled_at_ms = now_ms

    def wait_ms(self, rate_per_s: float) -> float:
        """Return the time until the level is above zero."""
        if self.level > 0.0:
            return 0.0
        return 1.0 - 1000.0 * self.level / max(rate_per_s, 1e-9)


class AccountBuckets:
    """The buckets of one client account under one profile.

    A request is admitted while both levels are above zero and may take them below
    zero. A request larger than the bucket is therefore delayed rather than refused
    for ever.
    """

    def __init__(self, now_ms: float) -> None:
        self._requests = _Bucket(now_ms)
        self._tokens = _Bucket(now_ms)

    def take(
        self, rates: Rates, cost_tokens: float, now_ms: float
    ) -> tuple[str, float]:
        """Charge one request, or return which limit refuses it and for how long.

        Returns
        -------
        (str, float)
            ``("", 0.0)`` if the request was charged, else the name of the limit
            and the milliseconds until that limit admits a request.
        """
        self._requests.refill(rates.requests_per_s, now_ms)
        self._tokens.refill(rates.tokens_per_s, now_ms)
        requests_wait_ms = self._requests.wait_ms(rates.requests_per_s)
        tokens_wait_ms = self._tokens.wait_ms(rates.tokens_per_s)
        if requests_wait_ms > 0.0 and requests_wait_ms >= tokens_wait_ms:
            return "requests_per_s", requests_wait_ms
        if tokens_wait_ms > 0.0:
            return "tokens_per_s", tokens_wait_ms
        self._requests.level -= 1.0
        self._tokens.level -= cost_tokens
        return "", 0.0

    def refund(self, n_tokens: float) -> None:
        """Return tokens once the actual work is known; negative charges more."""
        if self._tokens.level is not None:
            self._tokens.level += n_tokens
