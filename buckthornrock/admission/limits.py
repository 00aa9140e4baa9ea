"""Applies the client accounts' rate limits at this instance."""

from collections.abc import Callable

from .blocking import LimitPort
from .buckets import AccountBuckets, Rates
from .errors import LimitReached
from .request import AdmissionRequest

#: ``rates_of(request, now_ms) -> Rates``: this instance's current rates for the
#: request's client account.
RatesLookup = Callable[[AdmissionRequest, float], Rates]
#: ``note_demand(request)``: counts a request, whether it is admitted or not.
NoteDemand = Callable[[AdmissionRequest], None]


class AccountLimiter:
    """The token buckets of every client account and profile.

    It isn't thread-safe: callers must hold a lock.
    """

    def __init__(self, rates_of: RatesLookup, note_demand: NoteDemand) -> None:
        self._rates_of = rates_of
        self._note_demand = note_demand
        self._buckets: dict[tuple[str, str], AccountBuckets] = {}

    def take(self, request: AdmissionRequest, now_ms: float) -> LimitReached | None:
        """Charge one request to its account's buckets, or return its refusal."""
        self._note_demand(request)
        buckets = self._buckets.get(_key(request))
        if buckets is None:
            buckets = AccountBuckets(now_ms)
            self._buckets[_key(request)] = buckets
        rates = self._rates_of(request, now_ms)
        limit, wait_ms = buckets.take(rates, request.cost_tokens, now_ms)
        if not limit:
            return None
        return LimitReached(request.query.client_account, limit, int(wait_ms) + 1)

    def correct(self, request: AdmissionRequest, extra_tokens: float) -> None:
        """Charge a request's work beyond its estimate; negative refunds it."""
        buckets = self._buckets.get(_key(request))
        if buckets is not None:
            buckets.refund(-extra_tokens)


def _key(request: AdmissionRequest) -> tuple[str, str]:
    return request.query.profile, request.query.client_account


def open_limits(limiter: AccountLimiter) -> LimitPort:
    """Return the port to ``limiter``."""
    return LimitPort(limiter.take, limiter.correct)
