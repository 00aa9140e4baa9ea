"""Decision records: the routing choices for each request, and the outcome.

A record never holds a prompt, a response or a key. A bounded number of the newest
records is kept in memory.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec


class RequestFacts(NamedTuple):
    """Attributes of a request that are known when its record is opened.

    Parameters
    ----------
    ttft_target_ms : float
        An urgent request is on time if its first token comes within this time.
    deadline_at_ms : float
        Monotonic time by which a deferrable request has to be complete.
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
    """Fields of a routing choice that a record uses; ``RouteChoice`` has them."""

    upstream_id: str
    n_prompt_tokens: int
    n_hit_tokens: int
    estimated_ttft_ms: float
    terms: tuple[tuple[str, float], ...]
    import_hashes: tuple[str, ...]


class AttemptRecord(msgspec.Struct):
    """One attempt at an upstream; ``chosen_at_ms`` counts from the request's start.

    Parameters
    ----------
    terms_ms : dict of str to float
        The terms of the estimate for the chosen upstream.
    ttft_ms : float or None
        From the choice to the first token, to compare with the estimate.
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
    """Routing decisions for one request, and how it ended.

    Parameters
    ----------
    started_wall_ms : int
        Milliseconds since the epoch.
    admission_wait_ms : float or None
        Wait for admission; None while the request waits, or if it was not admitted.
    ttft_ms, total_ms : float or None
        From the request's start; None without a first token, or before the end.
    outcome : str
        "whole" for a complete response, a failure code, or "" while it runs.
    is_on_time : bool or None
        None while the request runs, and if its caller ended it.
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

#: Outcomes that the service is not accountable for: the caller closed its
#: connection or exceeded its own limit.
CALLER_OUTCOMES = frozenset({"caller-gone", "limit-reached"})
WHOLE = "whole"


class Decisions(NamedTuple):
    """Functions that record the progress of a request; all take its id first.

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
    """Holds the newest decision records by request id.

    Parameters
    ----------
    n_kept : int
        Number of records to keep; beyond it the oldest is dropped.
    wall_ms : callable
        Milliseconds since the epoch.
    on_ended : callable
        Called for every request that ended.
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
        """Record the end of the wait for admission."""
        entry = self._entries.get(request_id)
        if entry is not None:
            entry.record.admission_wait_ms = _elapsed_ms(entry, now_ms)

    def on_choice(
        self, request_id: str, choice: Choice, n_candidates: int, now_ms: float
    ) -> None:
        """Record an attempt with its estimate."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        attempt = AttemptRecord(
            upstream_id=choice.upstream_id,
            chosen_at_ms=_elapsed_ms(entry, now_ms),
            n_candidates=n_candidates,
            n_prompt_tokens=choice.n_prompt_tokens,
            n_hit_tokens=choice.n_hit_tokens,
            n_import_blocks=len(choice.import_hashes),
            estimated_ttft_ms=round(choice.estimated_ttft_ms, 1),
            terms_ms={name: round(ms, 1) for name, ms in choice.terms},
        )
        entry.record.attempts.append(attempt)

    def on_first_token(self, request_id: str, now_ms: float) -> None:
        """Record the time of the first token."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        entry.record.ttft_ms = _elapsed_ms(entry, now_ms)
        if entry.record.attempts:
            attempt = entry.record.attempts[-1]
            attempt.ttft_ms = round(entry.record.ttft_ms - attempt.chosen_at_ms, 1)

    def on_failed(self, request_id: str, code: str) -> None:
        """Record why the last attempt failed."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.record.attempts:
            entry.record.attempts[-1].failure = code

    def end(
        self, request_id: str, outcome: str, not_run: str, n_tokens: int, now_ms: float
    ) -> None:
        """Complete a record and report it to ``on_ended``."""
        entry = self._entries.get(request_id)
        if entry is None:
            return
        record = entry.record
        record.outcome = outcome
        record.not_run = not_run
        record.n_tokens = n_tokens
        record.total_ms = _elapsed_ms(entry, now_ms)
        record.is_on_time = _is_on_time(entry, now_ms)
        self._on_ended(entry.facts, record, now_ms)

    def find(self, request_id: str) -> DecisionRecord | None:
        """Return the record of a request, or None if it is not kept."""
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
    """Return functions that record nothing."""

    def ignore(*_: object) -> None:
        """Ignore the call."""

    return Decisions(ignore, ignore, ignore, ignore, ignore, ignore, ignore)


def _elapsed_ms(entry: _Entry, now_ms: float) -> float:
    return round(now_ms - entry.started_at_ms, 1)


def _is_on_time(entry: _Entry, now_ms: float) -> bool | None:
    record, facts = entry.record, entry.facts
    if record.outcome in CALLER_OUTCOMES:
        return None
    if record.outcome != WHOLE:
        return False
    if facts.is_deferrable:
        return now_ms <= facts.deadline_at_ms
    return record.ttft_ms is not None and record.ttft_ms <= facts.ttft_target_ms
