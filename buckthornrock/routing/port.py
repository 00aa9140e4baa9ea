"""The interface through which dispatch chooses an engine."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from expression import Result

from .directory import LevelSend, LevelView
from .errors import NoEngine
from .index import CacheEventLike
from .stored_prefixes import Export


class Candidate(Protocol):
    """What routing reads of an engine; ``fleet.EngineView`` satisfies it."""

    upstream_id: str
    address: str
    failure_domain: str
    incarnation: str
    weights_version: str
    n_running: int
    n_waiting_tokens: int
    n_own_requests: int
    prefill_tokens_per_s: float
    inter_token_ms: float
    report_age_ms: float
    health: float


class RouteQuery(NamedTuple):
    """A request to be routed.

    Parameters
    ----------
    prompt : bytes
        The rendered prompt.
    prefix_levels : tuple of int
        Byte offsets at which shared levels end (contract, lot, question).
    excluded : frozenset of str
        Upstreams at which this request already failed.
    weights_version : str
        The only weights version that may respond; "" allows any.
    """

    request_id: str
    client_account: str
    member: str
    model: str
    adapter: str
    prompt: bytes
    prefix_levels: tuple[int, ...]
    n_output_tokens: int
    rank: int
    excluded: frozenset[str]
    weights_version: str = ""


class RouteChoice(NamedTuple):
    """The chosen engine, and the estimate behind the choice.

    ``terms`` are the names of the estimate's terms with their milliseconds.
    ``import_hashes`` are the blocks that the engine should import from the cache store
    first. ``prefill_token_ms`` and ``decode_token_ms`` are the engine time per token.
    """

    upstream_id: str
    address: str
    incarnation: str
    weights_version: str
    cache_salt: str
    n_prompt_tokens: int
    n_hit_tokens: int
    estimated_ttft_ms: float
    terms: tuple[tuple[str, float], ...]
    import_hashes: tuple[str, ...] = ()
    prefill_token_ms: float = 0.0
    decode_token_ms: float = 0.0


class PeerDigest(NamedTuple):
    """What one instance reports to its peers about its routing.

    Parameters
    ----------
    n_tokens : mapping of str to int
        This instance's waiting prompt tokens, by upstream.
    kept : sequence of int
        Last block hashes of the prefix levels that it exported to the cache store.
    """

    n_tokens: Mapping[str, int]
    kept: Sequence[int]


class RoutingPort(NamedTuple):
    """Functions of routing; they do no I/O and change only the state they close over.

    Parameters
    ----------
    choose : callable
        ``choose(query, candidates, now_ms) -> Result[RouteChoice, NoEngine]``.
    on_sent : callable
        ``on_sent(query, choice, now_ms)``: the request was sent, so its prefix is being
        computed there.
    on_first_token : callable
        ``on_first_token(query, choice, ttft_ms, now_ms)``: the prefix is now in the
        engine's cache.
    on_failed : callable
        ``on_failed(query, choice, now_ms)``: the attempt failed.
    on_ended : callable
        ``on_ended(query, choice, now_ms)``: the attempt ended, whatever its outcome.
    on_events : callable
        ``on_events(upstream_id, incarnation, cache_events, now_ms)``.
    events_since : callable
        ``events_since(upstream_id) -> int``: the sequence number up to which the
        engine's events are known.
    must_wait : callable
        ``must_wait(query, choice, now_ms) -> bool``: whether another request of this
        instance is computing a prefix of this one there, so that sending it now would
        compute that prefix twice.
    next_export : callable
        ``next_export(now_ms) -> Export | None``: blocks to export to the cache
        store.
    on_exported : callable
        ``on_exported(export, n_blocks, duration_ms, now_ms)``.
    on_imported : callable
        ``on_imported(query, choice, n_blocks, duration_ms, now_ms)``.
    digest : callable
        ``digest(now_ms) -> PeerDigest``: what peers can't know by themselves; exports
        are those since the last digest.
    on_peer_digest : callable
        ``on_peer_digest(instance_id, digest, now_ms)``: a peer's :attr:`digest`.
    take_level_sends : callable
        ``take_level_sends() -> list of LevelSend``: unreported sends, for the levels'
        owners.
    on_level_sends : callable
        ``on_level_sends(sends, now_ms) -> list of LevelView``: called at the owner.
    on_level_views : callable
        ``on_level_views(views, now_ms)``: the owner's response.
    """

    choose: Callable[
        [RouteQuery, Sequence[Candidate], float], Result[RouteChoice, NoEngine]
    ]
    on_sent: Callable[[RouteQuery, RouteChoice, float], None]
    on_first_token: Callable[[RouteQuery, RouteChoice, float, float], None]
    on_failed: Callable[[RouteQuery, RouteChoice, float], None]
    on_ended: Callable[[RouteQuery, RouteChoice, float], None]
    on_events: Callable[[str, str, Sequence[CacheEventLike], float], None]
    events_since: Callable[[str], int]
    must_wait: Callable[[RouteQuery, RouteChoice, float], bool]
    next_export: Callable[[float], Export | None]
    on_exported: Callable[[Export, int, float, float], None]
    on_imported: Callable[[RouteQuery, RouteChoice, int, float, float], None]
    digest: Callable[[float], PeerDigest]
    on_peer_digest: Callable[[str, PeerDigest, float], None]
    take_level_sends: Callable[[], list[LevelSend]]
    on_level_sends: Callable[[Sequence[LevelSend], float], list[LevelView]]
    on_level_views: Callable[[Sequence[LevelView], float], None]
