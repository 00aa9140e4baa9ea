"""Requests to the dispatchers, and their results."""

import socket
from collections.abc import Callable
from typing import NamedTuple

from ..profiles import WorkClass
from ..upstreams.engine_messages import EngineChunk
from .caller import Caller
from .continuation import ResumePoint


class CompletionRequest(NamedTuple):
    """A validated completion request.

    Parameters
    ----------
    body : dict
        The caller's JSON object.
    prompt : bytes
        The rendered prompt, for hashing and estimates.
    deadline_at_ms : float
        Monotonic time.
    resume : ResumePoint or None
        How much of the response an earlier connection has delivered.
    """

    request_id: str
    caller: Caller
    profile: str
    work_class_name: str
    work_class: WorkClass
    weight: float
    model: str
    adapter: str
    body: dict
    prompt: bytes
    prefix_levels: tuple[int, ...]
    max_tokens: int
    deadline_at_ms: float
    is_deferred: bool
    resume: ResumePoint | None = None


class CompletionDone(NamedTuple):
    """A completion that was delivered in full."""

    n_tokens: int
    n_prompt_tokens: int
    ttft_ms: float


class CompletionSink(NamedTuple):
    """Where a response is delivered.

    Parameters
    ----------
    encode : callable
        ``encode(chunks, event_ids) -> bytes`` returns what to send to the caller for
        the chunks of one read; must not block. The ids are empty without a socket.
    socket : socket.socket or None
        The caller's connection; None if the response is kept in memory.
    is_gone : callable
        ``is_gone() -> bool`` tells whether the caller has disconnected; cheap enough
        to be polled.
    """

    encode: Callable[[list[EngineChunk], list[bytes]], bytes]
    socket: socket.socket | None
    is_gone: Callable[[], bool]


class ServiceRequest(NamedTuple):
    """A validated call to a plain service."""

    request_id: str
    caller: Caller
    profile: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotency_key: str
    deadline_at_ms: float
