"""What one completion has delivered so far, and from where it can go on."""

from typing import NamedTuple

from ..errors import Failure
from ..upstreams.engine_messages import EngineChoice, EngineChunk
from ..upstreams.engine_stream import BrokenStreamError
from .continuation import Delivered, ResumePoint

DIFFERS = "the answer differs from what was delivered"


class StreamRef(NamedTuple):
    """A stream that its engine may still hold, and the request id it carries."""

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
        The same as text; None if an earlier connection delivered it.
    weights_version : str
        Version that all of the answer must come from; "" before the first token.
    stream : StreamRef or None
        The stream to be resumed at its own engine first.
    may_have_run : bool
        Whether an attempt may have reached an engine.
    """

    def __init__(
        self, request_id: str, started_at_ms: float, resume: ResumePoint | None
    ) -> None:
        self.request_id = request_id
        self.started_at_ms = started_at_ms
        self.delivered = Delivered()
        self.text: bytes | None = b""
        self.weights_version = ""
        self.stream: StreamRef | None = None
        self.may_have_run = False
        self.n_prompt_tokens = 0
        self.n_failures = 0
        self.ttft_ms: float | None = None
        self.excluded: set[str] = set()
        self.last_failure: Failure | None = None
        if resume is not None:
            self._start_at(resume)

    def _start_at(self, resume: ResumePoint) -> None:
        origin = resume.origin
        self.delivered = resume.delivered
        self.text = None if resume.delivered.n_tokens else b""
        self.weights_version = origin.weights_version
        self.stream = StreamRef(origin.upstream_id, origin.stream_id, origin.request_id)

    @property
    def is_begun(self) -> bool:
        """Whether the caller has part of the answer."""
        return self.delivered.n_tokens > 0

    @property
    def is_finished(self) -> bool:
        """Whether the engine said that the answer is complete."""
        return bool(self.delivered.is_finished)

    def add(self, chunk: EngineChunk) -> None:
        """Append a piece that is on its way to the caller."""
        choice = chunk.choices[0]
        raw = choice.text.encode()
        is_finished = choice.finish_reason is not None
        self.delivered = self.delivered.extended(raw, chunk.n_tokens, is_finished)
        if self.text is not None:
            self.text += raw


class Replay:
    """Drops the part of a recomputed answer that the caller has already.

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
        """Return the dropped text, once all of it has come."""
        return b"".join(self._parts)

    def feed(self, chunk: EngineChunk) -> EngineChunk | None:
        """Return what is left of a chunk for the caller.

        Raises
        ------
        BrokenStreamError
            If the recomputed text is not the delivered one.
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
        # A chunk may reach beyond what was delivered only with further tokens.
        is_aligned = n_extra == 0 if n_tokens == 0 else n_tokens > 0 and n_extra >= 0
        if not is_aligned or self._seen.checksum != self._wanted.checksum:
            raise BrokenStreamError(DIFFERS)
