"""Limits of client accounts that the whole fleet enforces, and costs of requests."""

from typing import NamedTuple

from ..runtime.decoding import parse_count

#: Largest cost of one request. Prompts are limited to as many tokens.
MAX_COST = 1_000_000_000


class AccountLimit(NamedTuple):
    """Rate and bucket size of a client account, in tokens or requests.

    ``n_plain_tokens`` is the cost of a request without token counts if the limit
    counts tokens.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    n_plain_tokens: int = 0


class QuotaBound(NamedTuple):
    """The platform's bound on what an account may run in any window.

    It is (rate x window + burst) x (1 + overage) + slack.
    """

    window_ms: float
    overage: float = 0.0
    slack: float = 0.0


def request_cost(limit: AccountLimit, token_counts: str) -> int:
    """Return what a request costs; ``token_counts`` is ``PROMPT,OUTPUT`` or odd."""
    if not limit.counts_tokens:
        return 1
    counts = [parse_count(text) for text in token_counts.split(",")]
    if len(counts) != 2 or None in counts:
        return min(MAX_COST, max(0, limit.n_plain_tokens))
    return min(MAX_COST, sum(counts))


def largest_cost(limit: AccountLimit, bound: QuotaBound) -> float:
    """Return the cost beyond which one request alone would break the bound.

    A full bucket may follow a window in which the whole rate was spent.
    """
    earned = limit.rate_per_s * bound.window_ms / 1000.0
    return limit.burst + (earned + limit.burst) * bound.overage + bound.slack
