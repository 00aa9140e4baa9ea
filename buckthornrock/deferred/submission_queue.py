"""Group commit of accepted jobs.

Submitters wait here while one step after the other commits everything that has come
in as one segment. A segment's id is random, so finding its outcomes in the service
proves that an earlier try of the same commit took effect: a lost answer is settled
by trying again.
"""

import os
import threading
from collections.abc import Callable
from typing import Literal, NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..store import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    Compare,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from .claims import ClaimTerms
from .errors import KeyReused, NotAccepted, SubmitFailure
from .ids import N_SEGMENT_DIGITS, JobAddress, JobIds
from .packing import PackedJob
from .records import (
    MAX_VALUE_BYTES,
    IdempotencyRecord,
    Outcome,
    Outcomes,
    Pin,
    Segment,
    SegmentSummary,
    key_record_key,
    note_key,
    outcomes_key,
    segment_key,
)

#: Jobs of one segment; the service bounds the operations of a transaction.
MAX_JOBS = 512
MAX_KEYED_JOBS = 40
MAX_PINS = 20
#: A commit whose answer stays unknown is tried this often.
MAX_TRIES = 600


class Pending:
    """A submission that waits for its segment's commit.

    Attributes
    ----------
    was_sent : bool
        Whether a commit that contains it may have reached the service.
    result : Result or None
        The job's id, or why it was not accepted.
    """

    def __init__(self, packed: PackedJob, pins: tuple[Compare, ...]) -> None:
        self.packed = packed
        self.pins = pins
        self.was_sent = False
        self.result: Result[str, SubmitFailure] | None = None
        self.settled = threading.Event()

    @property
    def n_bytes(self) -> int:
        """Size of the stored job, nearly."""
        job = self.packed.job
        return 256 + len(job.body) + len(job.tail)

    def settle(self, result: Result[str, SubmitFailure]) -> None:
        """Hand the result to the submitter; the first one counts."""
        if self.result is None:
            self.result = result
            self.settled.set()


class AcceptedSegment(NamedTuple):
    """A segment that is durable.

    ``claim`` tells whether this instance holds it: ``unknown`` if an earlier commit,
    whose answer was lost, made a claim that may still stand.
    """

    segment_id: str
    segment: Segment
    outcomes: Outcomes
    revision: int
    epoch: int
    claim: Literal["held", "none", "unknown"]


class _Attempt:
    """A segment whose commit is being tried."""

    def __init__(self, pendings: list[Pending], terms: ClaimTerms | None) -> None:
        self.segment_id = _new_segment_id()
        self.pendings = pendings
        self.terms = terms
        self.n_tries = 0

    def change(self, pendings: list[Pending], terms: ClaimTerms | None) -> None:
        """Go on with other content, so under another id.

        Only after a conflict that proves that no earlier try took effect or will.
        """
        self.segment_id = _new_segment_id()
        self.pendings = pendings
        self.terms = terms
        self.n_tries = 0

    def address(self, index: int) -> JobAddress:
        return JobAddress(self.segment_id, index)


class SubmissionQueue:
    """Pending submissions and the commits that are under way.

    Parameters
    ----------
    kv : KvPort
        The key-value service.
    ids : JobIds
        Makes the jobs' ids.
    claim_terms : callable
        ``claim_terms() -> ClaimTerms | None``; None while this instance may not or
        should not hold more segments.
    on_accepted : callable
        Receives each :class:`AcceptedSegment`.
    forget_pin : callable
        ``forget_pin(blob_id)``: the blob's pin is not as it was.
    """

    def __init__(
        self,
        kv: KvPort,
        ids: JobIds,
        claim_terms: Callable[[], ClaimTerms | None],
        on_accepted: Callable[[AcceptedSegment], None],
        forget_pin: Callable[[str], None],
    ) -> None:
        self._kv = kv
        self._ids = ids
        self._claim_terms = claim_terms
        self._on_accepted = on_accepted
        self._forget_pin = forget_pin
        self._lock = threading.Lock()
        self._queue: list[Pending] = []
        self._unsettled: list[_Attempt] = []

    def enqueue(self, pending: Pending) -> None:
        """Let the next steps commit ``pending``."""
        with self._lock:
            self._queue.append(pending)

    def abandon(self, pending: Pending) -> None:
        """Settle a submission whose submitter waits no longer."""
        with self._lock:
            if pending in self._queue:
                self._queue.remove(pending)
            not_run = "unknown" if pending.was_sent else "true"
            pending.settle(Error(NotAccepted("kv-unavailable", not_run)))

    def is_unsettled(self, segment_id: str) -> bool:
        """Return whether the commit of this segment is still being tried."""
        with self._lock:
            return any(a.segment_id == segment_id for a in self._unsettled)

    def step(self) -> bool:
        """Commit what waits; return whether the service answered throughout."""
        with self._lock:
            attempts = list(self._unsettled)
        # While the service doesn't answer, only what was sent before is tried: what
        # was never sent can be refused as certainly not accepted.
        if not all([self._try(attempt) for attempt in attempts]):
            return False
        terms = self._claim_terms()
        with self._lock:
            batch = self._take_batch()
            if not batch:
                return True
            attempt = _Attempt(batch, terms)
            self._unsettled.append(attempt)
        return self._try(attempt)

    def _take_batch(self) -> list[Pending]:
        batch: list[Pending] = []
        n_bytes = 0
        pins: set[str] = set()
        keys: set[str] = set()
        for pending in self._queue:
            key = pending.packed.key_digest
            if key and key in keys:
                # The next segment finds the job that this one makes.
                break
            keys |= {key} if key else set()
            n_bytes += pending.n_bytes
            pins |= {compare.key for compare in pending.pins}
            is_over = n_bytes > MAX_VALUE_BYTES or len(keys) > MAX_KEYED_JOBS
            if batch and (is_over or len(pins) > MAX_PINS or len(batch) >= MAX_JOBS):
                break
            batch.append(pending)
        self._queue = self._queue[len(batch) :]
        for pending in batch:
            pending.was_sent = True
        return batch

    def _try(self, attempt: _Attempt) -> bool:
        attempt.n_tries += 1
        outcome = self._kv.commit(self._transaction(attempt))
        match outcome:
            case CommitDone(revision):
                claim = "none" if attempt.terms is None else "held"
                self._accept(attempt, revision, claim)
            case CommitConflict(entries):
                self._resolve(attempt, {entry.key: entry for entry in entries})
            case CommitNotDone(reason):
                self._put_back(attempt, reason)
                return False
            case _:
                if attempt.n_tries >= MAX_TRIES:
                    self._end(attempt, NotAccepted(outcome.code, "unknown"))
                return False
        return True

    def _transaction(self, attempt: _Attempt) -> Transaction:
        segment_id = attempt.segment_id
        segment = _segment(attempt)
        note = SegmentSummary(
            min(job.deadline_wall_ms for job in segment.jobs), len(segment.jobs)
        )
        compares = [Compare(outcomes_key(segment_id), 0)]
        writes = [
            Put(outcomes_key(segment_id), _encode(_new_outcomes(attempt))),
            Put(segment_key(segment_id), _encode(segment)),
            Put(note_key(segment_id), _encode(note)),
        ]
        compares += {c.key: c for p in attempt.pendings for c in p.pins}.values()
        for index, pending in enumerate(attempt.pendings):
            if pending.packed.key_digest:
                key = key_record_key(pending.packed.key_digest)
                record = IdempotencyRecord(
                    self._job_id(attempt, index), pending.packed.body_digest
                )
                compares.append(Compare(key, 0))
                writes.append(Put(key, _encode(record)))
        if attempt.terms is not None:
            compares.append(attempt.terms.guard)
            writes.append(attempt.terms.put(segment_id))
        return Transaction(tuple(compares), tuple(writes))

    def _accept(self, attempt: _Attempt, revision: int, claim: str) -> None:
        segment = _segment(attempt)
        self._on_accepted(
            AcceptedSegment(
                segment_id=attempt.segment_id,
                segment=segment,
                outcomes=_new_outcomes(attempt),
                revision=revision,
                epoch=attempt.terms.epoch if attempt.terms else 0,
                claim=claim,
            )
        )
        self._forget(attempt)
        for index, pending in enumerate(attempt.pendings):
            pending.settle(Ok(self._job_id(attempt, index)))

    def _resolve(self, attempt: _Attempt, found: dict[str, KvEntry]) -> None:
        """Act on a comparison that failed."""
        if outcomes_key(attempt.segment_id) in found:
            # An earlier try took effect. Whether its claim still stands is for the
            # scan to see, so the segment is not taken to be held.
            entry = found[outcomes_key(attempt.segment_id)]
            claim = "none" if attempt.terms is None else "unknown"
            self._accept(attempt, entry.mod_revision, claim)
            return
        rest = [p for p in attempt.pendings if not self._settle_known(p, found)]
        rest = [p for p in rest if not self._settle_unpinned(p, found)]
        terms = attempt.terms
        if terms is not None and not _holds(terms.guard, found):
            terms = None
        attempt.change(rest, terms)
        if not rest:
            self._forget(attempt)

    def _settle_known(self, pending: Pending, found: dict[str, KvEntry]) -> bool:
        """Settle a submission whose idempotency key already has a job."""
        key = key_record_key(pending.packed.key_digest)
        entry = found.get(key) if pending.packed.key_digest else None
        if entry is None:
            return False
        record = msgspec.msgpack.decode(entry.value, type=IdempotencyRecord)
        is_same = record.digest == pending.packed.body_digest
        failure = KeyReused(record.job_id)
        pending.settle(Ok(record.job_id) if is_same else Error(failure))
        return True

    def _settle_unpinned(self, pending: Pending, found: dict[str, KvEntry]) -> bool:
        """Settle a submission whose blob was deleted; follow a pin that moved."""
        if all(_holds(compare, found) for compare in pending.pins):
            return False
        for blob in pending.packed.blobs:
            self._forget_pin(blob.blob_id)
        pins = [_follow(compare, found, pending) for compare in pending.pins]
        if None in pins:
            pending.settle(Error(NotAccepted("blob-changed", "true")))
            return True
        pending.pins = tuple(pins)
        return False

    def _put_back(self, attempt: _Attempt, reason: str) -> None:
        """Queue again what was certainly not written, if its submitter waits."""
        self._forget(attempt)
        with self._lock:
            waiting = [p for p in attempt.pendings if p.result is None]
            # An earlier try of the same attempt may have had an unknown outcome.
            if attempt.n_tries == 1:
                for pending in waiting:
                    pending.was_sent = False
                self._queue = waiting + self._queue
                return
            self._unsettled.append(attempt)

    def _end(self, attempt: _Attempt, failure: NotAccepted) -> None:
        self._forget(attempt)
        for pending in attempt.pendings:
            pending.settle(Error(failure))

    def _forget(self, attempt: _Attempt) -> None:
        with self._lock:
            self._unsettled = [a for a in self._unsettled if a is not attempt]

    def _job_id(self, attempt: _Attempt, index: int) -> str:
        job = attempt.pendings[index].packed.job
        return self._ids.make(attempt.address(index), job.client_account, job.member)


def _new_segment_id() -> str:
    return os.urandom(N_SEGMENT_DIGITS // 2).hex()


def _segment(attempt: _Attempt) -> Segment:
    packed = [pending.packed for pending in attempt.pendings]
    keys = tuple(key_record_key(p.key_digest) for p in packed if p.key_digest)
    return Segment(tuple(p.job for p in packed), keys)


def _new_outcomes(attempt: _Attempt) -> Outcomes:
    # A segment that nobody held yet loses no holder when it is first claimed.
    jobs = tuple(Outcome() for _ in attempt.pendings)
    return Outcomes(jobs, is_released=attempt.terms is None)


def _follow(
    compare: Compare, found: dict[str, KvEntry], pending: Pending
) -> Compare | None:
    """Return the comparison with a pin as it is now, None if it is gone or short."""
    entry = found.get(compare.key)
    if entry is None:
        return None
    pin = msgspec.msgpack.decode(entry.value, type=Pin)
    if pin.expires_wall_ms < pending.packed.needed_until_wall_ms:
        return None
    return Compare(compare.key, entry.mod_revision)


def _holds(compare: Compare, found: dict[str, KvEntry]) -> bool:
    entry = found.get(compare.key)
    return (entry.mod_revision if entry else 0) == compare.mod_revision


def _encode(value: msgspec.Struct) -> bytes:
    return msgspec.msgpack.encode(value)
