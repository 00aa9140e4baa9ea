"""The port through which dispatch chooses an engine."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from expression import Result

from .errors import NoEngine
from .index import CacheEventLike


class Candidate(Protocol):
    """What routing reads of an engine; ``fleet.EngineView`` has this shape."""

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
    """What is to be routed.

    Parameters
    ----------
    prompt : bytes
        The rendered prompt.
    prefix_levels : tuple of int
        Byte offsets at which shared levels end (contract, lot, question).
    excluded : frozenset of str
        Upstreams that already failed this request.
    weights_version : str
        The only version that may answer; "" allows any.
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
    """Where the request goes, and why.

    ``terms`` names each term of the estimate with its milliseconds.
    ``import_hashes`` are the blocks to be fetched from the kept-cache store first.
    ``prefill_token_ms`` and ``decode_token_ms`` are the engine's time that one token
    takes.
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


class RoutingPort(NamedTuple):
    """Functions of routing; all are pure but for the state they close over.

    Parameters
    ----------
    choose : callable
        ``choose(query, candidates, now_ms) -> Result[RouteChoice, NoEngine]``.
    on_sent : callable
        ``on_sent(query, choice, now_ms)``: the prefix is being computed there.
    on_first_token : callable
        ``on_first_token(query, choice, ttft_ms, now_ms)``: it is present there.
    on_failed : callable
        ``on_failed(query, choice, now_ms)``.
    on_ended : callable
        ``on_ended(query, choice, now_ms)``: the attempt is over, however it ended.
    on_events : callable
        ``on_events(upstream_id, incarnation, cache_events, now_ms)``.
    events_since : callable
        ``events_since(upstream_id) -> int``: the last event number that is known.
    in_flight : callable
        ``in_flight(now_ms) -> dict``: own waiting tokens by upstream, for peers.
    on_peer : callable
        ``on_peer(instance_id, n_tokens, now_ms)``: a peer's :attr:`in_flight`.
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
    in_flight: Callable[[float], Mapping[str, int]]
    on_peer: Callable[[str, Mapping[str, int], float], None]
