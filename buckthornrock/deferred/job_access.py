"""Reads and cancels jobs in the key-value service; any instance can."""

import msgspec
from expression import Error, Ok, Result

from ..store import (
    CommitConflict,
    CommitDone,
    Compare,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from .errors import JobUnreadable, ReadFailure, UnknownJob
from .ids import JobAddress
from .port import JobView
from .records import MAX_VALUE_BYTES, Outcome, Outcomes, batch_key, outcomes_key

MAX_CANCEL_TRIES = 4


def read_job(
    kv: KvPort, job_id: str, address: JobAddress
) -> Result[JobView, ReadFailure]:
    """Return a job as the service has it, with its answer when it is done."""
    entry = kv.get(outcomes_key(address.segment_id))
    outcome = _outcome_of(entry, job_id, address)
    if outcome.is_error():
        return outcome
    found = outcome.ok
    if found.state != "done":
        return Ok(JobView(job_id, found.state, None, found.failure_code))
    answer = _load_answer(kv, found)
    if answer.is_error():
        return Error(JobUnreadable(job_id))
    if answer.ok is None:
        return Error(UnknownJob(job_id))
    return Ok(JobView(job_id, "done", msgspec.json.decode(answer.ok), ""))


def cancel_job(
    kv: KvPort, job_id: str, address: JobAddress
) -> Result[JobView, ReadFailure]:
    """Cancel a job unless it has ended; whatever ends it first stays."""
    key = outcomes_key(address.segment_id)
    for _ in range(MAX_CANCEL_TRIES):
        entry = kv.get(key)
        outcome = _outcome_of(entry, job_id, address)
        if outcome.is_error() or outcome.ok.is_final:
            break
        cancelled = _with_cancelled(entry.ok, address.index)
        put = Put(key, msgspec.msgpack.encode(cancelled))
        compare = Compare(key, entry.ok.mod_revision)
        commit = kv.commit(Transaction((compare,), (put,)))
        if not isinstance(commit, CommitDone | CommitConflict):
            return Error(JobUnreadable(job_id))
    return read_job(kv, job_id, address)


def _with_cancelled(entry: KvEntry, index: int) -> Outcomes:
    outcomes = msgspec.msgpack.decode(entry.value, type=Outcomes)
    jobs = list(outcomes.jobs)
    jobs[index] = msgspec.structs.replace(jobs[index], state="cancelled")
    return msgspec.structs.replace(outcomes, jobs=tuple(jobs))


def _outcome_of(
    entry: Result[KvEntry | None, object], job_id: str, address: JobAddress
) -> Result[Outcome, ReadFailure]:
    if entry.is_error():
        return Error(JobUnreadable(job_id))
    if entry.ok is None:
        return Error(UnknownJob(job_id))
    jobs = msgspec.msgpack.decode(entry.ok.value, type=Outcomes).jobs
    if address.index >= len(jobs):
        return Error(UnknownJob(job_id))
    return Ok(jobs[address.index])


def _load_answer(kv: KvPort, outcome: Outcome) -> Result[bytes | None, object]:
    first = outcome.offset // MAX_VALUE_BYTES
    last = max(first, (outcome.offset + outcome.n_bytes - 1) // MAX_VALUE_BYTES)
    content = b""
    for index in range(first, last + 1):
        part = kv.get(batch_key(outcome.batch_id, index))
        if part.is_error() or part.ok is None:
            return part
        content += part.ok.value
    start = outcome.offset - first * MAX_VALUE_BYTES
    return Ok(content[start : start + outcome.n_bytes])
