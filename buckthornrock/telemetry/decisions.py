"""Decision records: why each request went where it went, and what came of it.

A record never holds a prompt, an answer or a key. The newest records are kept in
memory up to a bound.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec


class RequestFacts(NamedTuple):
    """What a record says of a request itself.

    Parameters
    ----------
    ttft_target_ms : float
        Time within which an urgent answer's first token is on time.
    deadline_at_ms : float
        Monotonic time by which a deferrable answer has to be whole.
    """

    request_id: str
    client_account: str
    member: str
    profile: str
    work_class: str
    rank: int
    is_deferrable: bool
    ttft_target_ms: float
    deadline_at_ms: float
    n_prompt_bytes: int


class Choice(Protocol):
    """What a record reads of a routing choice; ``RouteChoice`` has this shape."""

    upstream_id: str
    n_prompt_tokens: int
    n_hit_tokens: int
    estimated_ttft_ms: float
    terms: tuple[tuple[str, float], ...]
    import_hashes: tuple[str, ...]


class AttemptRecord(msgspec.Struct):
    """One attempt at an upstream; times count from the request's start.

    Parameters
    ----------
    terms_ms : dict of str to float
        The terms of the estimate for the chosen upstream.
    ttft_ms : float or None
        From the choice to the first token, to be held against the estimate.
    failure : str
        Failure code, or "" if the attempt did not fail.
    """

    upstream_id: str
    chosen_at_ms: float
    n_candidates: int
    n_prompt_tokens: int
    n_hit_tokens: int
    n_import_blocks: int
    estimated_ttft_ms: float
    terms_ms: dict[str, float]
    ttft_ms: float | None = None
    failure: str = ""


class DecisionRecord(msgspec.Struct):
    """What was decided for one request.

    Parameters
    ----------
    started_wall_ms : int
        Milliseconds since the epoch.
    admission_wait_ms : float or None
        Wait for admission; None while it waits, or if it was refused there.
    ttft_ms, total_ms : float or None
        From the start; None if there was no first token, or no end yet.
    outcome : str
        "whole", a failure code, or "" while it runs.
    is_on_time : bool or None
        None while it runs, and where the caller itself ended it.
    """

    request_id: str
    client_account: str
    member: str
    profile: str
    work_class: str
    rank: int
    is_deferrable: bool
    ttft_target_ms: float
    n_prompt_bytes: int
    started_wall_ms: int
    admission_wait_ms: float | None = None
    attempts: list[AttemptRecord] = []
    ttft_ms: float | None = None
    total_ms: float | None = None
    n_tokens: int = 0
    outcome: str = ""
    not_run: str = ""
    is_on_time: bool | None = None


#: ``on_ended(facts, record, now_ms)``.
OnEnded = Callable[[RequestFacts, DecisionRecord, float], None]

#: Endings that say nothing of the service: the caller left or broke its own limit.
CALLER_ENDINGS = frozenset({"caller-gone", "limit-reached"})
WHOLE = "whole"


class Decisions(NamedTuple):
    """Functions that note what happens to a request; all take its id first.

    Parameters
    ----------
    begin : callable
        ``begin(facts, now_ms)``; takes the id from the facts.
    on_admitted : callable
        ``on_admitted(request_id, now_ms)``.
    on_choice : callable
        ``on_choice(request_id, choice, n_candidates, now_ms)``.
    on_first_token : callable
        ``on_first_token(request_id, now_ms)``.
    on_failed : callable
        ``on_failed(request_id, code)``: the last attempt failed.
    end : callable
        ``end(request_id, outcome, not_run, n_tokens, now_ms)``.
    find : callable
        ``find(request_id) -> DecisionRecord | None``.
    """

    begin: Callable[[RequestFacts, float], None]
    on_admitted: Callable[[str, float], None]
    on_choice: Callable[[str, Choice, int, float], None]
    on_first_token: Callable[[str, float], None]
    on_failed: Callable[[str, str], None]
    end: Callable[[str, str, str, int, float], None]
    find: Callable[[str], DecisionRecord | None]


class _Entry(NamedTuple):
    facts: RequestFacts
    record: DecisionRecord
    started_at_ms: float


class DecisionLog:
    """The newest records by request id.

    Parameters
    ----------
    n_kept : int
        Records that are kept; the oldest is dropped.
    wall_ms : callable
        Milliseconds since the epoch.
    on_ended : callable
        Told of every request that ended.
    """

    def __init__(
        self, n_kept: int, wall_ms: Callable[[], int], on_ended: OnEnded
    ) -> None:
        self._n_kept = n_kept
        self._wall_ms = wall_ms
        self._on_ended = on_ended
        self._lock = threading.Lock()
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def begin(self, facts: RequestFacts, now_ms: float) -> None:
        """Open a record."""
        record = DecisionRecord(
            request_id=facts.request_id,
            client_account=facts.client_account,
            member=facts.member,
            profile=facts.profile,
            work_class=facts.work_class,
            rank=facts.rank,
            is_deferrable=facts.is_deferrable,
            ttft_target_ms=facts.ttft_target_ms,
            n_prompt_bytes=facts.n_prompt_bytes,
            started_wall_ms=self._wall_ms(),
        )
        with self._lock:
            self._entries[facts.request_id] = _Entry(facts, record, now_ms)
            while len(self._entries) > self._n_kept:
                self._entries.popitem(last=False)

    def on_admitted(self, request_id: str, now_ms: float) -> None:
        """Note the end of the wait for admission."""
        entry = self._entries.get(request_id)
        if entry is not None:
            entry.record.admission_wait_ms = _since(entry, now_ms)

    def on_choice(
        self, request_id: str, choice: Choice, n_candidates: int, now_ms: float
    ) -> None:
        """Note an attempt with its estimate."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        attempt = AttemptRecord(
            upstream_id=choice.upstream_id,
            chosen_at_ms=_since(entry, now_ms),
            n_candidates=n_candidates,
            n_prompt_tokens=choice.n_prompt_tokens,
            n_hit_tokens=choice.n_hit_tokens,
            n_import_blocks=len(choice.import_hashes),
            estimated_ttft_ms=round(choice.estimated_ttft_ms, 1),
            terms_ms={name: round(ms, 1) for name, ms in choice.terms},
        )
        entry.record.attempts.append(attempt)

    def on_first_token(self, request_id: str, now_ms: float) -> None:
        """Note the first token of the answer."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        entry.record.ttft_ms = _since(entry, now_ms)
        if entry.record.attempts:
            attempt = entry.record.attempts[-1]
            attempt.ttft_ms = round(entry.record.ttft_ms - attempt.chosen_at_ms, 1)

    def on_failed(self, request_id: str, code: str) -> None:
        """Note why the last attempt failed."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.record.attempts:
            entry.record.attempts[-1].failure = code

    def end(
        self, request_id: str, outcome: str, not_run: str, n_tokens: int, now_ms: float
    ) -> None:
        """Close a record."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        record = entry.record
        record.outcome = outcome
        record.not_run = not_run
        record.n_tokens = n_tokens
        record.total_ms = _since(entry, now_ms)
        record.is_on_time = _is_on_time(entry, now_ms)
        self._on_ended(entry.facts, record, now_ms)

    def find(self, request_id: str) -> DecisionRecord | None:
        """Return the record of a request, if it is still kept."""
        entry = self._entries.get(request_id)
        return entry.record if entry is not None else None


def open_decisions(
    n_kept: int, wall_ms: Callable[[], int], on_ended: OnEnded
) -> Decisions:
    """Return the functions of a new :class:`DecisionLog`."""
    log = DecisionLog(n_kept, wall_ms, on_ended)
    return Decisions(
        log.begin,
        log.on_admitted,
        log.on_choice,
        log.on_first_token,
        log.on_failed,
        log.end,
        log.find,
    )


def no_decisions() -> Decisions:
    """Return functions that note nothing."""

    def ignore(*_: object) -> None:
        """Take no notice."""

    return Decisions(ignore, ignore, ignore, ignore, ignore, ignore, ignore)


def _since(entry: _Entry, now_ms: float) -> float:
    return round(now_ms - entry.started_at_ms, 1)


def _is_on_time(entry: _Entry, now_ms: float) -> bool | None:
    record, facts = entry.record, entry.facts
    if record.outcome in CALLER_ENDINGS:
        return None
    if record.outcome != WHOLE:
        return False
    if facts.is_deferrable:
        return now_ms <= facts.deadline_at_ms
    return record.ttft_ms is not None and record.ttft_ms <= facts.ttft_target_ms
