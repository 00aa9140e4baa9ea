"""Messages of the engines' HTTP interface."""

import msgspec


class EngineChoice(msgspec.Struct):
    """A piece of the answer: ``text`` for completions, ``delta`` for chats."""

    index: int = 0
    text: str = ""
    finish_reason: str | None = None


class EngineChunk(msgspec.Struct):
    """One event of a stream.

    ``offset`` is the index of the chunk's first token in the whole answer,
    ``n_tokens`` how many it holds.
    """

    id: str
    stream: str
    offset: int
    choices: list[EngineChoice]
    weights: str = ""
    cache_salt: str = ""
    n_tokens: int = 1


class LoadReport(msgspec.Struct):
    """What an engine says of itself; it lags."""

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
    """Blocks that an engine stored, removed, or all of them cleared."""

    seq: int
    kind: str
    hashes: list[str] = []


class CacheEvents(msgspec.Struct):
    """A batch of cache events of one engine incarnation."""

    incarnation: str
    events: list[CacheEvent]
    oldest_seq: int = 0


class CacheTransfer(msgspec.Struct):
    """Orders an engine to copy blocks to, or from, the kept-cache store."""

    cache_salt: str
    hashes: tuple[str, ...]
    store: str


class CacheTransferred(msgspec.Struct):
    """How many of the blocks were copied."""

    n_blocks: int
