"""What a completion has delivered so far, and where it can be continued."""

from collections.abc import Callable
from typing import NamedTuple

from ..errors import Failure
from ..upstreams.engine_messages import EngineChoice, EngineChunk
from ..upstreams.engine_stream import BrokenStreamError
from .continuation import Delivered, ResumePoint

RESPONSE_DIFFERS = "the answer differs from what was delivered"


class StreamRef(NamedTuple):
    """A stream that its engine may still hold, and the request id of the stream."""

    upstream_id: str
    stream_id: str
    request_id: str


class Progress:
    """State of one completion over all its attempts.

    Attributes
    ----------
    delivered : Delivered
        What the caller has.
    text : bytes or None
        The delivered text; None if an earlier connection delivered it.
    weights_version : str
        Version that must generate the whole response; "" before the first token.
    stream : StreamRef or None
        The stream that the next attempt resumes at the engine that started it.
    may_have_run : bool
        Whether an attempt may have reached an engine.
    on_first_token : callable
        ``on_first_token(n_computed_tokens, ttft_ms)``, called once; must not block.
    """

    def __init__(
        self,
        request_id: str,
        started_at_ms: float,
        resume: ResumePoint | None,
        on_first_token: Callable[[int, float], None] = lambda n_tokens, ttft_ms: None,
    ) -> None:
        self.request_id = request_id
        self.on_first_token = on_first_token
        self.started_at_ms = started_at_ms
        self.delivered = Delivered()
        self.text: bytes | None = b""
        self.weights_version = ""
        self.stream: StreamRef | None = None
        self.may_have_run = False
        self.n_prompt_tokens = 0
        self.n_computed_tokens = 0
        self.n_failures = 0
        self.ttft_ms: float | None = None
        self.excluded: set[str] = set()
        self.last_failure: Failure | None = None
        if resume is not None:
            self._resume_from(resume)

    def _resume_from(self, resume: ResumePoint) -> None:
        origin = resume.origin
        self.delivered = resume.delivered
        self.text = None if resume.delivered.n_tokens else b""
        self.weights_version = origin.weights_version
        self.stream = StreamRef(origin.upstream_id, origin.stream_id, origin.request_id)

    @property
    def has_delivered(self) -> bool:
        """Whether the caller has part of the response."""
        return self.delivered.n_tokens > 0

    @property
    def is_finished(self) -> bool:
        """Whether the engine reported that the response is complete."""
        return bool(self.delivered.is_finished)

    def add(self, chunk: EngineChunk) -> None:
        """Append a chunk that is being sent to the caller."""
        choice = chunk.choices[0]
        raw = choice.text.encode()
        is_finished = choice.finish_reason is not None
        self.delivered = self.delivered.extended(raw, chunk.n_tokens, is_finished)
        if self.text is not None:
            self.text += raw


class Replay:
    """Drops the part of a recomputed response that the caller already has.

    Parameters
    ----------
    wanted : Delivered
        What the caller has.
    """

    def __init__(self, wanted: Delivered) -> None:
        self._wanted = wanted
        self._seen = Delivered()
        self._parts: list[bytes] = []
        self.is_done = False

    def text(self) -> bytes:
        """Return the dropped text; complete once ``is_done`` is true."""
        return b"".join(self._parts)

    def feed(self, chunk: EngineChunk) -> EngineChunk | None:
        """Return the part of a chunk that the caller does not have, or None.

        Raises
        ------
        BrokenStreamError
            If the recomputed text differs from the delivered text.
        """
        choice = chunk.choices[0]
        raw = choice.text.encode()
        n_missing = self._wanted.n_bytes - self._seen.n_bytes
        n_extra = len(raw) - n_missing
        self._seen = self._seen.extended(raw[:n_missing], chunk.n_tokens)
        self._parts.append(raw[:n_missing])
        n_tokens = self._seen.n_tokens - self._wanted.n_tokens
        if n_tokens < 0 and n_extra <= 0:
            return None
        self._check(n_tokens, n_extra)
        self.is_done = True
        if not n_tokens and choice.finish_reason is None:
            return None
        rest = EngineChoice(
            choice.index, raw[n_missing:].decode(), choice.finish_reason
        )
        offset = self._wanted.n_tokens
        return EngineChunk(
            chunk.id,
            chunk.stream,
            offset,
            [rest],
            chunk.weights,
            chunk.cache_salt,
            n_tokens,
        )

    def _check(self, n_tokens: int, n_extra: int) -> None:
        # Bytes beyond the delivered ones are valid only if they belong to new tokens.
        is_aligned = n_extra == 0 if n_tokens == 0 else n_tokens > 0 and n_extra >= 0
        if not is_aligned or self._seen.checksum != self._wanted.checksum:
            raise BrokenStreamError(RESPONSE_DIFFERS)
