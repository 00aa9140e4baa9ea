"""Estimates the cost of a request at one engine, mainly its time to first token."""

from array import array
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..conf.settings import RoutingTermSettings
from .index import Match
from .levels import Level
from .port import Candidate

#: Cost of a copy of a shared prefix on an engine that isn't one of its preferred
#: engines, as a multiple of its prefill time. Later requests look for the prefix at the
#: preferred engines, and the copy evicts blocks of other prompts.
STRAY_COPY_WEIGHT = 2.0
#: Mean number of later requests that wait longer for each millisecond of prefill time
#: that this request takes.
LATER_WORK_WEIGHT = 6.0


class Prompt(NamedTuple):
    """A prompt's hashes for one owner and one version of the weights.

    Parameters
    ----------
    salt : str
        Hexadecimal cache salt.
    chain : array of uint64
        One hash for each whole block.
    n_tokens : int
        Tokens of the whole prompt.
    n_shared_blocks : int
        Blocks that other prompts are likely to share.
    preferred : tuple of str
        Upstreams that rendezvous hashing prefers for the shared part.
    levels : tuple of Level
        Prefix levels, the shortest first.
    n_stored_blocks : int
        Number of leading blocks that are in the cache store.
    """

    salt: str
    chain: array
    n_tokens: int
    n_shared_blocks: int
    preferred: tuple[str, ...]
    levels: tuple[Level, ...]
    n_stored_blocks: int


class UnreportedTokens(NamedTuple):
    """Tokens that wait at an engine but aren't in its load report yet."""

    n_own_tokens: int
    n_peer_tokens: int


class Estimate(NamedTuple):
    """The estimate for one engine.

    ``ttft_ms`` leaves out the cost to later requests, which ``total_ms`` includes.
    """

    candidate: Candidate
    match: Match
    n_missed_tokens: int
    ttft_ms: float
    total_ms: float
    terms: tuple[tuple[str, float], ...]
    n_import_blocks: int


def estimate(
    prompt: Prompt,
    candidate: Candidate,
    match: Match,
    unreported: UnreportedTokens,
    transit_ms: float,
    import_ms: Callable[[int], float],
    block_tokens: int,
    switches: RoutingTermSettings,
) -> Estimate:
    """Return the estimate of ``prompt`` at ``candidate``.

    ``import_ms(n_blocks)`` returns the time to import blocks from the cache store.
    ``switches`` turns the terms on and off.
    """
    token_ms = 1000.0 / max(1.0, candidate.prefill_tokens_per_s)
    n_import_blocks = 0
    if switches.imports:
        n_import_blocks = _n_import_blocks(
            prompt, match, import_ms, block_tokens * token_ms
        )
    n_missed = _n_missed_tokens(prompt, match.n_blocks + n_import_blocks, block_tokens)
    doubt_ms = match.n_gone_blocks * block_tokens * token_ms
    terms = [
        ("queue", _n_queued_tokens(candidate, unreported, switches) * token_ms),
        ("prefill", n_missed * token_ms + doubt_ms),
        ("transit", 2.0 * transit_ms if switches.transit else 0.0),
    ]
    if n_import_blocks:
        terms.append(("import", import_ms(n_import_blocks)))
    ttft_ms = sum(duration_ms for _, duration_ms in terms)
    if switches.later_work:
        later_ms = LATER_WORK_WEIGHT * (n_missed * token_ms + doubt_ms)
        terms.append(("later_work", later_ms))
    if switches.homes and candidate.upstream_id not in prompt.preferred:
        n_known_blocks = match.n_blocks + n_import_blocks
        n_stray_blocks = max(0, prompt.n_shared_blocks - n_known_blocks)
        stray_ms = n_stray_blocks * block_tokens * token_ms * STRAY_COPY_WEIGHT
        terms.append(("stray_copy", stray_ms))
    total_ms = sum(duration_ms for _, duration_ms in terms)
    return Estimate(
        candidate, match, n_missed, ttft_ms, total_ms, tuple(terms), n_import_blocks
    )


def _n_missed_tokens(prompt: Prompt, n_known_blocks: int, block_tokens: int) -> int:
    return max(1, prompt.n_tokens - n_known_blocks * block_tokens)


def _n_import_blocks(
    prompt: Prompt, match: Match, import_ms: Callable[[int], float], block_ms: float
) -> int:
    """Return how many blocks to import, or 0 if computing them is faster."""
    n_blocks = prompt.n_stored_blocks - match.n_blocks
    if n_blocks <= 0 or import_ms(n_blocks) >= n_blocks * block_ms:
        return 0
    return n_blocks


def _n_queued_tokens(
    candidate: Candidate, unreported: UnreportedTokens, switches: RoutingTermSettings
) -> float:
    n_tokens = 0.0
    if switches.queue:
        n_drained = candidate.report_age_ms * candidate.prefill_tokens_per_s / 1000.0
        n_tokens = max(0.0, candidate.n_waiting_tokens - n_drained)
    if switches.own_sends:
        n_tokens += unreported.n_own_tokens
    if switches.peers:
        n_tokens += unreported.n_peer_tokens
    return n_tokens


def near_best(
    estimates: Sequence[Estimate], margin_ms: float, margin_share: float
) -> list[Estimate]:
    """Return the estimates that are within a margin of the best one.

    The margin is ``margin_ms``, or ``margin_share`` of the best one's time to first
    token if that is more.
    """
    best = min(estimates, key=lambda e: e.total_ms)
    limit_ms = best.total_ms + max(margin_ms, best.ttft_ms * margin_share)
    return [e for e in estimates if e.total_ms <= limit_ms]
