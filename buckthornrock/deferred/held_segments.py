"""Segments that this instance holds, and the group commit of their outcomes.

A result becomes visible when the segment's outcomes are replaced by compare-and-swap
on their revision. The first final outcome of a job wins: an instance that finds one
already stored drops its own, so a job that ran twice still has one result.
"""

import itertools
import os
import threading
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from ..store import (
    CommitConflict,
    CommitDone,
    Compare,
    Delete,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from .ids import JobAddress
from .packing import split_value
from .records import (
    HOUR_MS,
    MAX_VALUE_BYTES,
    DeletionRecord,
    Job,
    Outcome,
    Outcomes,
    Segment,
    batch_key,
    claim_key,
    deletion_prefix,
    outcomes_key,
    segment_key,
    summary_key,
)

BATCH_ID_BYTES = 12
#: Segments whose outcomes are saved in one transaction.
MAX_SEGMENTS_PER_COMMIT = 20


class UnsavedOutcome(NamedTuple):
    """A job's outcome that is not durable yet; ``answer`` is the answer's JSON."""

    outcome: Outcome
    answer: bytes = b""


class HeldSegment:
    """A segment whose outcomes this instance tracks.

    Attributes
    ----------
    revision : int
        Revision of the outcomes as last read or written.
    epoch : int
        Epoch of the lease under which the segment is claimed, 0 if it is not claimed.
    unsaved : dict of int to UnsavedOutcome
        Outcomes that are not durable yet, by job index.
    """

    def __init__(
        self,
        segment_id: str,
        segment: Segment,
        outcomes: Outcomes,
        revision: int,
        epoch: int,
    ) -> None:
        self.segment_id = segment_id
        self.segment = segment
        self.outcomes = outcomes
        self.revision = revision
        self.epoch = epoch
        self.unsaved: dict[int, UnsavedOutcome] = {}

    def merged(self, finished: dict[int, Outcome]) -> Outcomes:
        """Return the outcomes, with ``finished`` applied to jobs still open."""
        jobs = [
            outcome if outcome.is_final else finished.get(index, outcome)
            for index, outcome in enumerate(self.outcomes.jobs)
        ]
        return msgspec.structs.replace(self.outcomes, jobs=tuple(jobs))

    def reload(self, entry: KvEntry) -> None:
        """Load outcomes that another instance wrote; drop own ones for ended jobs."""
        self.outcomes = msgspec.msgpack.decode(entry.value, type=Outcomes)
        self.revision = entry.mod_revision
        for index, outcome in enumerate(self.outcomes.jobs):
            if outcome.is_final:
                self.unsaved.pop(index, None)


class SavedJob(NamedTuple):
    """A job whose outcome has been saved."""

    address: JobAddress
    job: Job
    state: str


class HeldSegments:
    """The segments that this instance holds, by id.

    Parameters
    ----------
    kv : KvPort
        The key-value service.
    wall_ms : callable
        Wall clock, to compute when results may be deleted.
    retention_ms : int
        How long results are kept after a job's deadline.
    on_saved : callable
        Receives each :class:`SavedJob`.
    """

    def __init__(
        self,
        kv: KvPort,
        wall_ms: Callable[[], int],
        retention_ms: int,
        on_saved: Callable[[SavedJob], None],
    ) -> None:
        self._kv = kv
        self._wall_ms = wall_ms
        self._retention_ms = retention_ms
        self._on_saved = on_saved
        self._lock = threading.RLock()
        self._segments: dict[str, HeldSegment] = {}
        self._n_unsaved_bytes = 0

    @property
    def n_unsaved_bytes(self) -> int:
        """Size of the answers that are not saved yet."""
        return self._n_unsaved_bytes

    def add(self, held: HeldSegment) -> bool:
        """Add a segment and return whether it was added.

        A segment that is claimed here already stays. One that was lost, but has
        unsaved outcomes, is replaced and passes them on.
        """
        with self._lock:
            known = self._segments.get(held.segment_id)
            if known is not None and known.epoch:
                return False
            if known is not None:
                held.unsaved = known.unsaved
            self._segments[held.segment_id] = held
            return True

    def get(self, segment_id: str) -> HeldSegment | None:
        """Return a held segment, or None."""
        with self._lock:
            return self._segments.get(segment_id)

    def is_open(self, address: JobAddress) -> bool:
        """Return whether a job of a held segment has no outcome yet."""
        with self._lock:
            held = self._segments.get(address.segment_id)
            if held is None or address.index in held.unsaved:
                return False
            return not held.outcomes.jobs[address.index].is_final

    def all(self) -> list[HeldSegment]:
        """Return all held segments."""
        with self._lock:
            return list(self._segments.values())

    def drop(self, segment_id: str) -> None:
        """Remove a segment, unless it has outcomes that must be saved first."""
        with self._lock:
            held = self._segments.get(segment_id)
            if held is not None and not held.unsaved:
                del self._segments[segment_id]

    def finish(self, address: JobAddress, finished: UnsavedOutcome) -> None:
        """Add the outcome of a job; the next step saves it."""
        with self._lock:
            held = self._segments.get(address.segment_id)
            if held is None or held.outcomes.jobs[address.index].is_final:
                return
            if address.index not in held.unsaved:
                held.unsaved[address.index] = finished
            self._update_unsaved_bytes()

    def refresh(self, segment_id: str) -> None:
        """Reload the outcomes of a held segment after another instance changed them."""
        entry = self._kv.get(outcomes_key(segment_id))
        held = self.get(segment_id)
        if held is None or entry.is_error():
            return
        with self._lock:
            self._reload((held,), (entry.ok,) if entry.ok else ())

    def record_attempt(self, address: JobAddress) -> bool:
        """Count a start of a job durably; return whether that was done."""
        with self._lock:
            held = self._segments.get(address.segment_id)
            if held is None:
                return False
            outcome = held.outcomes.jobs[address.index]
            n_attempts = outcome.n_attempts + 1
            started = msgspec.structs.replace(outcome, n_attempts=n_attempts)
            outcomes = held.merged({address.index: started})
            compare = Compare(outcomes_key(held.segment_id), held.revision)
        put = Put(compare.key, msgspec.msgpack.encode(outcomes))
        commit = self._kv.commit(Transaction((compare,), (put,)))
        with self._lock:
            if isinstance(commit, CommitConflict):
                self._reload((held,), commit.entries)
            if not isinstance(commit, CommitDone):
                return False
            # A higher revision was saved meanwhile and includes this start already.
            if commit.revision > held.revision:
                held.outcomes, held.revision = outcomes, commit.revision
        return True

    def step(self) -> bool:
        """Save outcomes; return whether every call got a response."""
        while True:
            segments = self._choose_segments()
            if not segments:
                return True
            outcome = self._save(segments)
            if isinstance(outcome, CommitDone):
                continue
            if not isinstance(outcome, CommitConflict):
                return False
            with self._lock:
                if not self._reload(segments, outcome.entries):
                    # The conflict is not about outcomes; try again in the next step.
                    return True

    def _choose_segments(self) -> list[HeldSegment]:
        with self._lock:
            # If another instance ended the last job, the stored jobs remain to be
            # deleted.
            due = (
                held
                for held in self._segments.values()
                if held.unsaved or held.outcomes.are_final
            )
            return list(itertools.islice(due, MAX_SEGMENTS_PER_COMMIT))

    def _save(self, segments: list[HeldSegment]) -> object:
        batch = _ResultBatch(os.urandom(BATCH_ID_BYTES).hex())
        compares, writes, keys = [], [], []
        merged: dict[str, Outcomes] = {}
        saved: dict[str, tuple[int, ...]] = {}
        expires_wall_ms = self._wall_ms()
        with self._lock:
            for held in segments:
                batched = batch.add_answers(held.unsaved)
                if not batched and held.unsaved:
                    continue
                outcomes = held.merged(batched)
                merged[held.segment_id] = outcomes
                saved[held.segment_id] = tuple(batched)
                key = outcomes_key(held.segment_id)
                compares.append(Compare(key, held.revision))
                writes.append(Put(key, msgspec.msgpack.encode(outcomes)))
                expires_wall_ms = max(expires_wall_ms, _last_deadline(held))
                if outcomes.are_final:
                    writes += _deletes(held.segment_id)
                    keys += [key, *held.segment.key_records]
        expires_wall_ms += self._retention_ms
        parts = split_value(batch.content)
        puts = [Put(batch_key(batch.id, i), part) for i, part in enumerate(parts)]
        part_keys = [put.key for put in puts]
        for put in puts[:-1]:
            # The deletion record is written with each part, so that the parts of an
            # unfinished batch are deleted as well.
            early_writes = (put, _deletion_put(batch.id, part_keys, expires_wall_ms))
            early = self._kv.commit(Transaction((Compare(put.key, 0),), early_writes))
            if not isinstance(early, CommitDone):
                return early
        deletion = _deletion_put(batch.id, [*keys, *part_keys], expires_wall_ms)
        transaction = Transaction(tuple(compares), (*writes, puts[-1], deletion))
        outcome = self._kv.commit(transaction)
        if isinstance(outcome, CommitDone):
            self._apply_saved(segments, merged, saved, outcome.revision)
        return outcome

    def _apply_saved(
        self,
        segments: list[HeldSegment],
        merged: dict[str, Outcomes],
        saved: dict[str, tuple[int, ...]],
        revision: int,
    ) -> None:
        jobs = []
        with self._lock:
            for held in segments:
                if held.segment_id not in merged:
                    continue
                held.outcomes = merged[held.segment_id]
                held.revision = revision
                for index in saved[held.segment_id]:
                    held.unsaved.pop(index, None)
                    jobs.append(_saved_job(held, index))
                is_kept = held.epoch or held.unsaved
                if held.outcomes.are_final or not is_kept:
                    self._segments.pop(held.segment_id, None)
            self._update_unsaved_bytes()
        for job in jobs:
            self._on_saved(job)

    def _reload(self, segments: Iterable[HeldSegment], entries: tuple) -> bool:
        """Load outcomes that other instances wrote; return whether any were newer."""
        entries_by_key = {entry.key: entry for entry in entries}
        has_changes = False
        for held in segments:
            entry = entries_by_key.get(outcomes_key(held.segment_id))
            if entry is None:
                # All jobs ended and the outcomes were deleted after their retention.
                self._segments.pop(held.segment_id, None)
                has_changes = True
            elif entry.mod_revision > held.revision:
                # An entry that was read before this instance's last save is older.
                held.reload(entry)
                has_changes = True
        self._update_unsaved_bytes()
        return has_changes

    def _update_unsaved_bytes(self) -> None:
        self._n_unsaved_bytes = sum(
            len(finished.answer)
            for held in self._segments.values()
            for finished in held.unsaved.values()
        )


class _ResultBatch:
    """Answers that are stored together under one batch id."""

    def __init__(self, batch_id: str) -> None:
        self.id = batch_id
        self.content = b""

    def add_answers(self, unsaved: dict[int, UnsavedOutcome]) -> dict[int, Outcome]:
        """Add answers up to the size limit; return the outcomes of those added."""
        batched = {}
        for index, finished in unsaved.items():
            n_bytes = len(finished.answer)
            if self.content and len(self.content) + n_bytes > MAX_VALUE_BYTES:
                break
            batched[index] = msgspec.structs.replace(
                finished.outcome,
                batch_id=self.id if n_bytes else "",
                offset=len(self.content),
                n_bytes=n_bytes,
            )
            self.content += finished.answer
        return batched


def _deletion_put(batch_id: str, keys: list[str], expires_wall_ms: int) -> Put:
    name = deletion_prefix(expires_wall_ms + HOUR_MS) + batch_id
    return Put(name, msgspec.msgpack.encode(DeletionRecord(tuple(keys))))


def _deletes(segment_id: str) -> list[Delete]:
    keys = (segment_key(segment_id), summary_key(segment_id), claim_key(segment_id))
    return [Delete(key) for key in keys]


def _last_deadline(held: HeldSegment) -> int:
    return max(job.deadline_wall_ms for job in held.segment.jobs)


def _saved_job(held: HeldSegment, index: int) -> SavedJob:
    return SavedJob(
        JobAddress(held.segment_id, index),
        held.segment.jobs[index],
        held.outcomes.jobs[index].state,
    )
