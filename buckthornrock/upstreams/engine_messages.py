"""Messages of the engines' HTTP interface."""

import msgspec


class EngineChoice(msgspec.Struct):
    """A piece of the response: ``text`` for completions, ``delta`` for chats."""

    index: int = 0
    text: str = ""
    finish_reason: str | None = None


class EngineChunk(msgspec.Struct):
    """One event of a stream.

    ``offset`` is the index of the chunk's first token in the whole response;
    ``n_tokens`` is the number of tokens in the chunk.
    """

    id: str
    stream: str
    offset: int
    choices: list[EngineChoice]
    weights: str = ""
    cache_salt: str = ""
    n_tokens: int = 1


class LoadReport(msgspec.Struct):
    """The load and state that an engine reports; it lags behind the actual state."""

    incarnation: str
    models: tuple[str, ...]
    weights_version: str
    n_running: int
    n_waiting: int
    n_waiting_tokens: int
    prefill_tokens_per_s: float
    inter_token_ms: float
    n_cached_blocks: int
    n_cache_blocks: int
    state: str = "live"
    adapters: tuple[str, ...] = ()


class CacheEvent(msgspec.Struct):
    """A change of an engine's cached blocks: some stored or removed, or all cleared."""

    seq: int
    kind: str
    hashes: list[str] = []


class CacheEvents(msgspec.Struct):
    """A batch of cache events of one engine incarnation."""

    incarnation: str
    events: list[CacheEvent]
    oldest_seq: int = 0


class CacheTransfer(msgspec.Struct):
    """Request to an engine to copy blocks to or from the cache store."""

    cache_salt: str
    hashes: tuple[str, ...]
    store: str


class CacheTransferred(msgspec.Struct):
    """The number of blocks that were copied."""

    n_blocks: int
