"""Segments that this instance holds, and the group commit of their outcomes.

A result becomes visible when the segment's outcomes are replaced by comparison of
their revision. The first final outcome of a job stays: whoever finds one already
there drops its own, so that a job run twice has one result.
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
    Outcome,
    Outcomes,
    Segment,
    batch_key,
    claim_key,
    note_key,
    outcomes_key,
    segment_key,
    trash_prefix,
)

BATCH_ID_BYTES = 12
#: Segments whose outcomes go into one transaction.
MAX_SEGMENTS = 20


class Finished(NamedTuple):
    """A job's outcome that is not durable yet; ``answer`` is its JSON, if any."""

    outcome: Outcome
    answer: bytes = b""


class HeldSegment:
    """A segment of which this instance knows the outcomes.

    Attributes
    ----------
    revision : int
        Of the outcomes as they were read or written last.
    epoch : int
        The lease under which it is claimed, 0 for none.
    unsaved : dict of int to Finished
        Outcomes by index that are not durable yet.
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
        self.unsaved: dict[int, Finished] = {}

    def merged(self, finished: dict[int, Outcome]) -> Outcomes:
        """Return the outcomes with those of ``finished`` that are still open."""
        jobs = [
            outcome if outcome.is_final else finished.get(index, outcome)
            for index, outcome in enumerate(self.outcomes.jobs)
        ]
        return msgspec.structs.replace(self.outcomes, jobs=tuple(jobs))

    def reload(self, entry: KvEntry) -> None:
        """Take the outcomes as someone else wrote them; drop what was decided."""
        self.outcomes = msgspec.msgpack.decode(entry.value, type=Outcomes)
        self.revision = entry.mod_revision
        for index, outcome in enumerate(self.outcomes.jobs):
            if outcome.is_final:
                self.unsaved.pop(index, None)


class SavedJob(NamedTuple):
    """A job whose outcome is durable now."""

    address: JobAddress
    client_account: str
    state: str


class HeldSegments:
    """All held segments.

    Parameters
    ----------
    kv : KvPort
        The key-value service.
    wall_ms : callable
        Wall clock, for the time at which results may be deleted.
    retention_ms : int
        Results are kept this long beyond a job's deadline.
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
        """Size of the answers that wait in memory."""
        return self._n_unsaved_bytes

    def add(self, held: HeldSegment) -> bool:
        """Take a segment in, unless it is held already."""
        with self._lock:
            known = self._segments.get(held.segment_id)
            if known is not None and known.epoch:
                return False
            if known is not None:
                held.unsaved = known.unsaved
            self._segments[held.segment_id] = held
            return True

    def get(self, segment_id: str) -> HeldSegment | None:
        """Return a held segment."""
        with self._lock:
            return self._segments.get(segment_id)

    def is_open(self, address: JobAddress) -> bool:
        """Return whether a job of a held segment has still to be run."""
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
        """Hold a segment no more; unsaved outcomes keep it until they are saved."""
        with self._lock:
            held = self._segments.get(segment_id)
            if held is not None and not held.unsaved:
                del self._segments[segment_id]

    def finish(self, address: JobAddress, finished: Finished) -> None:
        """Note the outcome of a job, to be saved by the next step."""
        with self._lock:
            held = self._segments.get(address.segment_id)
            if held is None or held.outcomes.jobs[address.index].is_final:
                return
            if address.index not in held.unsaved:
                held.unsaved[address.index] = finished
            self._count_unsaved()

    def refresh(self, segment_id: str) -> None:
        """Read the outcomes of a held segment that someone else changed."""
        entry = self._kv.get(outcomes_key(segment_id))
        held = self.get(segment_id)
        if held is None or entry.is_error() or entry.ok is None:
            return
        with self._lock:
            self._reload((held,), (entry.ok,))

    def note_attempt(self, address: JobAddress) -> bool:
        """Make the start of a job durable; return whether that was done."""
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
            # Outcomes that were saved since hold this start already.
            if commit.revision > held.revision:
                held.outcomes, held.revision = outcomes, commit.revision
        return True

    def step(self) -> bool:
        """Save outcomes; return whether the service answered throughout."""
        while True:
            chosen = self._choose()
            if not chosen:
                return True
            outcome = self._save(chosen)
            if isinstance(outcome, CommitDone):
                continue
            if not isinstance(outcome, CommitConflict):
                return False
            with self._lock:
                if not self._reload(chosen, outcome.entries):
                    # Something was compared that is not an outcome; try next time.
                    return True

    def _choose(self) -> list[HeldSegment]:
        with self._lock:
            # Where others ended the last job, the jobs have still to be removed.
            due = (
                held
                for held in self._segments.values()
                if held.unsaved or held.outcomes.are_final
            )
            return list(itertools.islice(due, MAX_SEGMENTS))

    def _save(self, chosen: list[HeldSegment]) -> object:
        batch = _Batch(os.urandom(BATCH_ID_BYTES).hex())
        compares, writes, keys = [], [], []
        merged: dict[str, Outcomes] = {}
        saved: dict[str, tuple[int, ...]] = {}
        expires_wall_ms = self._wall_ms()
        with self._lock:
            for held in chosen:
                placed = batch.place(held.unsaved)
                if not placed and held.unsaved:
                    continue
                outcomes = held.merged(placed)
                merged[held.segment_id] = outcomes
                saved[held.segment_id] = tuple(placed)
                key = outcomes_key(held.segment_id)
                compares.append(Compare(key, held.revision))
                writes.append(Put(key, msgspec.msgpack.encode(outcomes)))
                expires_wall_ms = max(expires_wall_ms, _last_deadline(held))
                if outcomes.are_final:
                    writes += _removal(held.segment_id)
                    keys += [key, *held.segment.key_records]
        expires_wall_ms += self._retention_ms
        parts = split_value(batch.content)
        puts = [Put(batch_key(batch.id, i), part) for i, part in enumerate(parts)]
        part_keys = [put.key for put in puts]
        for put in puts[:-1]:
            # Noted with the parts, so that parts of a batch that is never done go too.
            early_writes = (put, _trash(batch.id, part_keys, expires_wall_ms))
            early = self._kv.commit(Transaction((Compare(put.key, 0),), early_writes))
            if not isinstance(early, CommitDone):
                return early
        trash = _trash(batch.id, [*keys, *part_keys], expires_wall_ms)
        transaction = Transaction(tuple(compares), (*writes, puts[-1], trash))
        outcome = self._kv.commit(transaction)
        if isinstance(outcome, CommitDone):
            self._note_saved(chosen, merged, saved, outcome.revision)
        return outcome

    def _note_saved(
        self,
        chosen: list[HeldSegment],
        merged: dict[str, Outcomes],
        saved: dict[str, tuple[int, ...]],
        revision: int,
    ) -> None:
        jobs = []
        with self._lock:
            for held in chosen:
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
            self._count_unsaved()
        for job in jobs:
            self._on_saved(job)

    def _reload(self, chosen: Iterable[HeldSegment], entries: tuple) -> bool:
        """Take in outcomes that others wrote; return whether any differed."""
        found = {entry.key: entry for entry in entries}
        is_any = False
        for held in chosen:
            entry = found.get(outcomes_key(held.segment_id))
            if entry is None:
                # Ended and deleted long ago: nothing of it is wanted any more.
                self._segments.pop(held.segment_id, None)
                is_any = True
            elif entry.mod_revision != held.revision:
                held.reload(entry)
                is_any = True
        self._count_unsaved()
        return is_any

    def _count_unsaved(self) -> None:
        self._n_unsaved_bytes = sum(
            len(finished.answer)
            for held in self._segments.values()
            for finished in held.unsaved.values()
        )


class _Batch:
    """Answers that are written together."""

    def __init__(self, batch_id: str) -> None:
        self.id = batch_id
        self.content = b""

    def place(self, unsaved: dict[int, Finished]) -> dict[int, Outcome]:
        """Add answers until the batch is large; return the outcomes of those in it."""
        placed = {}
        for index, finished in unsaved.items():
            n_bytes = len(finished.answer)
            if self.content and len(self.content) + n_bytes > MAX_VALUE_BYTES:
                break
            placed[index] = msgspec.structs.replace(
                finished.outcome,
                batch_id=self.id if n_bytes else "",
                offset=len(self.content),
                n_bytes=n_bytes,
            )
            self.content += finished.answer
        return placed


def _trash(batch_id: str, keys: list[str], expires_wall_ms: int) -> Put:
    name = trash_prefix(expires_wall_ms + HOUR_MS) + batch_id
    return Put(name, msgspec.msgpack.encode(DeletionRecord(tuple(keys))))


def _removal(segment_id: str) -> list[Delete]:
    keys = (segment_key(segment_id), note_key(segment_id), claim_key(segment_id))
    return [Delete(key) for key in keys]


def _last_deadline(held: HeldSegment) -> int:
    return max(job.deadline_wall_ms for job in held.segment.jobs)


def _saved_job(held: HeldSegment, index: int) -> SavedJob:
    return SavedJob(
        JobAddress(held.segment_id, index),
        held.segment.jobs[index].client_account,
        held.outcomes.jobs[index].state,
    )
