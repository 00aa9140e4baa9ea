"""Group commit of submitted jobs.

Submitters block while each commit step writes all queued submissions as one segment.
A segment's id is random, so finding its outcomes in the key-value service proves that
an earlier try of the same commit took effect. A commit whose response was lost is
therefore settled by a retry.
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
from .claims import ClaimLease
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
    idempotency_record_key,
    outcomes_key,
    segment_key,
    summary_key,
)

#: Limits of one segment, because the key-value service limits the number of
#: operations in a transaction.
MAX_JOBS_PER_SEGMENT = 512
MAX_KEYED_JOBS = 40
MAX_PINS = 20
#: Tries of a commit whose result stays unknown, before its submissions fail.
MAX_TRIES = 600


class PendingSubmission:
    """A submission that waits until its segment is committed.

    Attributes
    ----------
    was_sent : bool
        Whether a commit that contains it may have reached the key-value service.
    result : Result or None
        The job's id or why it was not accepted; None while it is pending.
    """

    def __init__(self, packed: PackedJob, pins: tuple[Compare, ...]) -> None:
        self.packed = packed
        self.pins = pins
        self.was_sent = False
        self.result: Result[str, SubmitFailure] | None = None
        self.settled = threading.Event()

    @property
    def n_bytes(self) -> int:
        """Approximate size of the stored job."""
        job = self.packed.job
        return 256 + len(job.body) + len(job.tail)

    def settle(self, result: Result[str, SubmitFailure]) -> None:
        """Set the result and wake the submitter; later results are ignored."""
        if self.result is None:
            self.result = result
            self.settled.set()


class AcceptedSegment(NamedTuple):
    """A segment that is durable.

    ``claim`` says whether this instance holds the segment. It is ``unknown`` if the
    commit that made the claim got no response: the claim may have been lost since.
    """

    segment_id: str
    segment: Segment
    outcomes: Outcomes
    revision: int
    epoch: int
    claim: Literal["held", "none", "unknown"]


class _CommitAttempt:
    """A segment whose commit is in progress, with the number of tries so far."""

    def __init__(
        self, submissions: list[PendingSubmission], claim_lease: ClaimLease | None
    ) -> None:
        self.segment_id = _new_segment_id()
        self.submissions = submissions
        self.claim_lease = claim_lease
        self.n_tries = 0

    def reset(
        self, submissions: list[PendingSubmission], claim_lease: ClaimLease | None
    ) -> None:
        """Replace the content and start again under a new segment id.

        Call this only after a conflict proved that no earlier try has taken effect
        or ever will.
        """
        self.segment_id = _new_segment_id()
        self.submissions = submissions
        self.claim_lease = claim_lease
        self.n_tries = 0

    def address(self, index: int) -> JobAddress:
        return JobAddress(self.segment_id, index)


class SubmissionQueue:
    """Pending submissions and the commits in progress.

    Parameters
    ----------
    kv : KvPort
        The key-value service.
    ids : JobIds
        Makes the jobs' ids.
    get_claim_lease : callable
        ``get_claim_lease() -> ClaimLease | None``; None while this instance has no
        lease, is stopping or holds enough jobs. The segment is then left unclaimed.
    on_accepted : callable
        Receives each :class:`AcceptedSegment`.
    forget_pin : callable
        ``forget_pin(blob_id)``; called when the blob's pin has changed, so that the
        cached pin is dropped.
    """

    def __init__(
        self,
        kv: KvPort,
        ids: JobIds,
        get_claim_lease: Callable[[], ClaimLease | None],
        on_accepted: Callable[[AcceptedSegment], None],
        forget_pin: Callable[[str], None],
    ) -> None:
        self._kv = kv
        self._ids = ids
        self._get_claim_lease = get_claim_lease
        self._on_accepted = on_accepted
        self._forget_pin = forget_pin
        self._lock = threading.Lock()
        self._queue: list[PendingSubmission] = []
        self._unsettled: list[_CommitAttempt] = []

    def enqueue(self, pending: PendingSubmission) -> None:
        """Queue ``pending`` for one of the next commits."""
        with self._lock:
            self._queue.append(pending)

    def abandon(self, pending: PendingSubmission) -> None:
        """Fail a submission whose submitter has timed out."""
        with self._lock:
            if pending in self._queue:
                self._queue.remove(pending)
            not_run = "unknown" if pending.was_sent else "true"
            pending.settle(Error(NotAccepted("kv-unavailable", not_run)))

    def is_unsettled(self, segment_id: str) -> bool:
        """Return whether the commit of this segment has no known result yet."""
        with self._lock:
            return any(a.segment_id == segment_id for a in self._unsettled)

    def step(self) -> bool:
        """Commit queued submissions; return whether every call got a response."""
        with self._lock:
            attempts = list(self._unsettled)
        # During an outage only commits that were sent before are retried. Submissions
        # that were never sent can then be refused as certainly not accepted.
        if not all([self._commit(attempt) for attempt in attempts]):
            return False
        claim_lease = self._get_claim_lease()
        with self._lock:
            batch = self._take_batch()
            if not batch:
                return True
            attempt = _CommitAttempt(batch, claim_lease)
            self._unsettled.append(attempt)
        return self._commit(attempt)

    def _take_batch(self) -> list[PendingSubmission]:
        batch: list[PendingSubmission] = []
        n_bytes = 0
        pins: set[str] = set()
        keys: set[str] = set()
        for pending in self._queue:
            key = pending.packed.key_digest
            if key and key in keys:
                # Leave the duplicate to the next segment, whose commit finds this job.
                break
            keys |= {key} if key else set()
            n_bytes += pending.n_bytes
            pins |= {compare.key for compare in pending.pins}
            exceeds_limit = n_bytes > MAX_VALUE_BYTES or len(keys) > MAX_KEYED_JOBS
            if batch and (
                exceeds_limit
                or len(pins) > MAX_PINS
                or len(batch) >= MAX_JOBS_PER_SEGMENT
            ):
                break
            batch.append(pending)
        self._queue = self._queue[len(batch) :]
        for pending in batch:
            pending.was_sent = True
        return batch

    def _commit(self, attempt: _CommitAttempt) -> bool:
        attempt.n_tries += 1
        outcome = self._kv.commit(self._build_transaction(attempt))
        match outcome:
            case CommitDone(revision):
                claim = "none" if attempt.claim_lease is None else "held"
                self._finish_accepted(attempt, revision, claim)
            case CommitConflict(entries):
                self._handle_conflict(attempt, {entry.key: entry for entry in entries})
            case CommitNotDone() if attempt.n_tries == 1:
                self._requeue(attempt)
                return False
            case _:
                # After an earlier try, which may have taken effect, a commit that was
                # certainly not executed is as unknown as one without a response.
                if attempt.n_tries >= MAX_TRIES:
                    self._fail(attempt, NotAccepted(outcome.code, "unknown"))
                return False
        return True

    def _build_transaction(self, attempt: _CommitAttempt) -> Transaction:
        segment_id = attempt.segment_id
        segment = _build_segment(attempt)
        summary = SegmentSummary(
            min(job.deadline_wall_ms for job in segment.jobs), len(segment.jobs)
        )
        compares = [Compare(outcomes_key(segment_id), 0)]
        writes = [
            Put(outcomes_key(segment_id), _encode(_new_outcomes(attempt))),
            Put(segment_key(segment_id), _encode(segment)),
            Put(summary_key(segment_id), _encode(summary)),
        ]
        compares += {c.key: c for p in attempt.submissions for c in p.pins}.values()
        for index, pending in enumerate(attempt.submissions):
            if pending.packed.key_digest:
                key = idempotency_record_key(pending.packed.key_digest)
                record = IdempotencyRecord(
                    self._job_id(attempt, index), pending.packed.body_digest
                )
                compares.append(Compare(key, 0))
                writes.append(Put(key, _encode(record)))
        if attempt.claim_lease is not None:
            compares.append(attempt.claim_lease.guard)
            writes.append(attempt.claim_lease.put(segment_id))
        return Transaction(tuple(compares), tuple(writes))

    def _finish_accepted(
        self, attempt: _CommitAttempt, revision: int, claim: str
    ) -> None:
        segment = _build_segment(attempt)
        self._on_accepted(
            AcceptedSegment(
                segment_id=attempt.segment_id,
                segment=segment,
                outcomes=_new_outcomes(attempt),
                revision=revision,
                epoch=attempt.claim_lease.epoch if attempt.claim_lease else 0,
                claim=claim,
            )
        )
        self._remove(attempt)
        for index, pending in enumerate(attempt.submissions):
            pending.settle(Ok(self._job_id(attempt, index)))

    def _handle_conflict(
        self, attempt: _CommitAttempt, current_entries: dict[str, KvEntry]
    ) -> None:
        """Handle a commit of which a comparison failed."""
        if outcomes_key(attempt.segment_id) in current_entries:
            # An earlier try took effect. Its claim may have been lost since, so the
            # segment doesn't count as held until the scan step has verified the claim.
            entry = current_entries[outcomes_key(attempt.segment_id)]
            claim = "none" if attempt.claim_lease is None else "unknown"
            self._finish_accepted(attempt, entry.mod_revision, claim)
            return
        remaining = [
            p
            for p in attempt.submissions
            if not self._settle_known_key(p, current_entries)
        ]
        remaining = [
            p for p in remaining if not self._settle_changed_blobs(p, current_entries)
        ]
        claim_lease = attempt.claim_lease
        if claim_lease is not None and not _is_satisfied(
            claim_lease.guard, current_entries
        ):
            claim_lease = None
        attempt.reset(remaining, claim_lease)
        if not remaining:
            self._remove(attempt)

    def _settle_known_key(
        self, pending: PendingSubmission, current_entries: dict[str, KvEntry]
    ) -> bool:
        """Settle a submission whose idempotency key already has a job.

        Returns whether there was such a job.
        """
        key = idempotency_record_key(pending.packed.key_digest)
        entry = current_entries.get(key) if pending.packed.key_digest else None
        if entry is None:
            return False
        record = msgspec.msgpack.decode(entry.value, type=IdempotencyRecord)
        is_same = record.digest == pending.packed.body_digest
        failure = KeyReused(record.job_id)
        pending.settle(Ok(record.job_id) if is_same else Error(failure))
        return True

    def _settle_changed_blobs(
        self, pending: PendingSubmission, current_entries: dict[str, KvEntry]
    ) -> bool:
        """Fail a submission whose blob was deleted; update pins that have changed.

        Returns whether the submission was settled.
        """
        if all(_is_satisfied(compare, current_entries) for compare in pending.pins):
            return False
        for blob in pending.packed.blobs:
            self._forget_pin(blob.blob_id)
        pins = [
            _updated_compare(compare, current_entries, pending)
            for compare in pending.pins
        ]
        if None in pins:
            pending.settle(Error(NotAccepted("blob-changed", "true")))
            return True
        pending.pins = tuple(pins)
        return False

    def _requeue(self, attempt: _CommitAttempt) -> None:
        """Requeue submissions whose commit was certainly not executed."""
        self._remove(attempt)
        with self._lock:
            waiting = [p for p in attempt.submissions if p.result is None]
            for pending in waiting:
                pending.was_sent = False
            self._queue = waiting + self._queue

    def _fail(self, attempt: _CommitAttempt, failure: NotAccepted) -> None:
        self._remove(attempt)
        for pending in attempt.submissions:
            pending.settle(Error(failure))

    def _remove(self, attempt: _CommitAttempt) -> None:
        with self._lock:
            self._unsettled = [a for a in self._unsettled if a is not attempt]

    def _job_id(self, attempt: _CommitAttempt, index: int) -> str:
        job = attempt.submissions[index].packed.job
        return self._ids.make(attempt.address(index), job.client_account, job.member)


def _new_segment_id() -> str:
    return os.urandom(N_SEGMENT_DIGITS // 2).hex()


def _build_segment(attempt: _CommitAttempt) -> Segment:
    packed = [pending.packed for pending in attempt.submissions]
    keys = tuple(idempotency_record_key(p.key_digest) for p in packed if p.key_digest)
    return Segment(tuple(p.job for p in packed), keys)


def _new_outcomes(attempt: _CommitAttempt) -> Outcomes:
    # An unclaimed segment starts as released, so that its first claim isn't counted
    # as the loss of a holder.
    jobs = tuple(Outcome() for _ in attempt.submissions)
    return Outcomes(jobs, is_released=attempt.claim_lease is None)


def _updated_compare(
    compare: Compare, current_entries: dict[str, KvEntry], pending: PendingSubmission
) -> Compare | None:
    """Return a comparison with the pin's current revision.

    Returns None if the pin is gone or expires while the job may still need it.
    """
    entry = current_entries.get(compare.key)
    if entry is None:
        return None
    pin = msgspec.msgpack.decode(entry.value, type=Pin)
    if pin.expires_wall_ms < pending.packed.needed_until_wall_ms:
        return None
    return Compare(compare.key, entry.mod_revision)


def _is_satisfied(compare: Compare, current_entries: dict[str, KvEntry]) -> bool:
    entry = current_entries.get(compare.key)
    return (entry.mod_revision if entry else 0) == compare.mod_revision


def _encode(value: msgspec.Struct) -> bytes:
    return msgspec.msgpack.encode(value)
