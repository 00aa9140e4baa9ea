"""The client accounts' limits as this instance applies them."""

from collections.abc import Callable

from .buckets import AccountBuckets, Rates
from .entry import Entry
from .errors import LimitReached
from .front import LimitPort

#: ``rates_of(entry, now_ms) -> Rates``: what this instance may admit now.
RatesLookup = Callable[[Entry, float], Rates]
#: ``note(entry, cost_tokens)``: learns of demand, admitted or not.
NoteDemand = Callable[[Entry], None]


class AccountLimiter:
    """The buckets of every client account and profile; callers hold a lock."""

    def __init__(self, rates_of: RatesLookup, note_demand: NoteDemand) -> None:
        self._rates_of = rates_of
        self._note_demand = note_demand
        self._buckets: dict[tuple[str, str], AccountBuckets] = {}

    def take(self, entry: Entry, now_ms: float) -> LimitReached | None:
        """Take one request from its account's buckets, or say which is empty."""
        self._note_demand(entry)
        buckets = self._buckets.get(_key(entry))
        if buckets is None:
            buckets = AccountBuckets(now_ms)
            self._buckets[_key(entry)] = buckets
        rates = self._rates_of(entry, now_ms)
        limit, wait_ms = buckets.take(rates, entry.cost_tokens, now_ms)
        if not limit:
            return None
        return LimitReached(entry.query.client_account, limit, int(wait_ms) + 1)

    def correct(self, entry: Entry, extra_tokens: float) -> None:
        """Charge what a request cost beyond its estimate, or give it back."""
        buckets = self._buckets.get(_key(entry))
        if buckets is not None:
            buckets.give_back(-extra_tokens)


def _key(entry: Entry) -> tuple[str, str]:
    return entry.query.profile, entry.query.client_account


def open_limits(limiter: AccountLimiter) -> LimitPort:
    """Return the port to ``limiter``."""
    return LimitPort(limiter.take, limiter.correct)
