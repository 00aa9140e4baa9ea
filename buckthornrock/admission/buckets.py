"""Token buckets: one client account's use of its limits at this instance."""

from typing import NamedTuple

#: A bucket holds what its rate gives in this time, but at least one request.
BURST_MS = 500.0


class Rates(NamedTuple):
    """What one instance may admit of one client account."""

    requests_per_s: float
    tokens_per_s: float


class _Bucket:
    """A level that fills at a rate and may be overdrawn once."""

    def __init__(self, now_ms: float) -> None:
        self.level: float | None = None
        self.filled_at_ms = now_ms

    def fill(self, rate_per_s: float, now_ms: float) -> None:
        capacity = rate_per_s * BURST_MS / 1000.0
        if self.level is None:
            self.level = capacity
        elapsed_ms = max(0.0, now_ms - self.filled_at_ms)
        self.level = min(capacity, self.level + rate_per_s * elapsed_ms / 1000.0)
        self.filled_at_ms = now_ms

    def wait_ms(self, rate_per_s: float) -> float:
        """Return the time until the level is above zero."""
        if self.level > 0.0:
            return 0.0
        return 1.0 - 1000.0 * self.level / max(rate_per_s, 1e-9)


class AccountBuckets:
    """The buckets of one client account under one profile.

    A request is let in while its level is above zero and may take it below, so that
    a request larger than the bucket is delayed rather than refused for ever.
    """

    def __init__(self, now_ms: float) -> None:
        self._requests = _Bucket(now_ms)
        self._tokens = _Bucket(now_ms)

    def take(
        self, rates: Rates, cost_tokens: float, now_ms: float
    ) -> tuple[str, float]:
        """Take one request; return which limit stands against it and how long.

        Returns
        -------
        (str, float)
            ``("", 0.0)`` if the request was taken, else the name of the limit and
            the milliseconds until it lets a request in.
        """
        self._requests.fill(rates.requests_per_s, now_ms)
        self._tokens.fill(rates.tokens_per_s, now_ms)
        requests_wait_ms = self._requests.wait_ms(rates.requests_per_s)
        tokens_wait_ms = self._tokens.wait_ms(rates.tokens_per_s)
        if requests_wait_ms > 0.0 and requests_wait_ms >= tokens_wait_ms:
            return "requests_per_s", requests_wait_ms
        if tokens_wait_ms > 0.0:
            return "tokens_per_s", tokens_wait_ms
        self._requests.level -= 1.0
        self._tokens.level -= cost_tokens
        return "", 0.0

    def give_back(self, n_tokens: float) -> None:
        """Correct the tokens taken, once the real work is known."""
        if self._tokens.level is not None:
            self._tokens.level += n_tokens
