"""Runs the jobs that an instance holds, one at a time a worker thread."""

import threading

import msgspec
from expression import Error, Ok, Result

from ..errors import Failure
from ..events import deferred as events
from .backlog import Backlog, HeldJob
from .blobs import BlobStore
from .context import DeferredConfig, DeferredContext, JobControl
from .errors import PromptGone, RunBroken
from .held_segments import Finished, HeldSegments
from .ids import JobAddress
from .packing import unpack
from .port import JobSubmission
from .reachability import Reachability
from .records import Job, Outcome
from .retry_policy import (
    MAX_LOSSES,
    MAX_NOTED_ATTEMPTS,
    RETRY_DELAY_MS,
    judge,
    retry_delay_ms,
)


class JobRunner:
    """Takes jobs off the backlog, runs them and judges how they ended.

    Parameters
    ----------
    parts : DeferredContext
        Lease, clock and the function that runs a job.
    rules : DeferredConfig
        Bound on results that are not saved yet.
    backlog : Backlog
        Jobs that wait or run; ``lock`` guards it.
    lock : threading.Lock
        Shared with whoever else uses the backlog.
    holdings : HeldSegments
        Segments that this instance holds, with their outcomes.
    blobs : BlobStore
        Prompts of the jobs.
    reachability : Reachability
        Whether the key-value service answers.

    Attributes
    ----------
    is_stopping : bool
        Whether no more jobs are started.
    """

    def __init__(
        self,
        parts: DeferredContext,
        rules: DeferredConfig,
        backlog: Backlog,
        lock: threading.Lock,
        holdings: HeldSegments,
        blobs: BlobStore,
        reachability: Reachability,
    ) -> None:
        self._parts = parts
        self._rules = rules
        self._backlog = backlog
        self._lock = lock
        self._holdings = holdings
        self._blobs = blobs
        self._reachability = reachability
        self.is_stopping = False

    def stop(self) -> None:
        """Start no more jobs; those that run may yield."""
        self.is_stopping = True

    def finish(self, address: JobAddress, state: str, failure_code: str) -> None:
        """Note a job's final state; it is saved with the next commit."""
        self._holdings.finish(address, Finished(Outcome(state, failure_code)))

    def run_next(self) -> bool:
        """Run one job, if one is ready and may be started; return whether one was."""
        if self.is_stopping or not self._may_run():
            return False
        with self._lock:
            held = self._backlog.take(self._parts.clock.wall_ms())
        if held is None:
            return False
        if not self._holdings.is_open(held.address):
            self._leave(held)
            return True
        if not self.is_claimed(held.address):
            self._put_back(held, RETRY_DELAY_MS)
            return False
        self._run(held)
        return True

    def _may_run(self) -> bool:
        """Return whether jobs may be started now.

        While the service is down nobody can take this instance's segments over, so
        it works on what it holds, as long as the results fit in memory.
        """
        if self._holdings.n_unsaved_bytes > self._rules.max_unsaved_bytes:
            return False
        return self._reachability.is_down or self._parts.lease.holds()

    def is_claimed(self, address: JobAddress) -> bool:
        """Return whether this instance may go on with a job."""
        if self._reachability.is_down:
            return True
        segment = self._holdings.get(address.segment_id)
        if segment is None or not self._parts.lease.holds():
            return False
        return segment.epoch == self._parts.lease.epoch()

    def _run(self, held: HeldJob) -> None:
        if not self._note_start(held):
            return
        # A start that ends here, however it ends, is not noted again.
        held = held._replace(is_start_noted=True)
        try:
            answer = self._load_and_run(held)
        except Exception as error:  # noqa: BLE001 - a bad job must not end its worker
            self._parts.telemetry.log(
                events.RUN_BROKEN,
                segment_id=held.address.segment_id,
                index=held.address.index,
                error_type=type(error).__name__,
            )
            answer = Error(RunBroken())
        if answer.is_ok():
            self._holdings.finish(held.address, Finished(Outcome("done"), answer.ok))
            self._leave(held)
            return
        self._judge(held, answer.error)

    def _load_and_run(self, held: HeldJob) -> Result[bytes, Failure]:
        """Return the answer's JSON."""
        submission = self._load(held.job)
        if submission.is_error():
            return submission
        if submission.ok is None:
            return Error(PromptGone())
        address, job = held.address, held.job
        job_id = self._parts.ids.make(address, job.client_account, job.member)
        control = JobControl(
            rank=lambda class_rank: self._rank(held, class_rank),
            is_lost=lambda: not self.is_claimed(held.address),
            should_yield=lambda: self._should_yield(held),
        )
        result = self._parts.run_job(job_id, submission.ok, control)
        return result.map(msgspec.json.encode)

    def _load(self, job: Job) -> Result[JobSubmission | None, Failure]:
        """Return the job as it was submitted, None if its prompt is gone."""
        contents = []
        for blob_id in (job.prefix_id, job.blob_id):
            content = self._blobs.load(blob_id) if blob_id else Ok(b"")
            if content.is_error() or content.ok is None:
                return content
            contents.append(content.ok)
        return Ok(unpack(job, *contents))

    def _note_start(self, held: HeldJob) -> bool:
        """Make the start durable where jobs of the segment ended their holders."""
        segment = self._holdings.get(held.address.segment_id)
        if segment is None:
            self._leave(held)
            return False
        if held.is_start_noted or segment.outcomes.n_losses < MAX_LOSSES:
            return True
        outcome = segment.outcomes.jobs[held.address.index]
        if outcome.n_attempts >= MAX_NOTED_ATTEMPTS:
            self._end(held, "failed", "holders-lost")
            return False
        if self._holdings.note_attempt(held.address):
            return True
        self._put_back(held, RETRY_DELAY_MS)
        return False

    def _judge(self, held: HeldJob, failure: Failure) -> None:
        verdict = judge(failure, held.n_attempts + 1)
        if verdict == "fail":
            self._end(held, "failed", failure.code)
            return
        n_attempts = held.n_attempts + (verdict == "retry")
        self._parts.telemetry.log(
            events.JOB_RETRIED,
            segment_id=held.address.segment_id,
            index=held.address.index,
            failure=failure.code,
            n_attempts=n_attempts,
        )
        delay_ms = retry_delay_ms(failure, n_attempts)
        self._put_back(held._replace(n_attempts=n_attempts), delay_ms)

    def _rank(self, held: HeldJob, class_rank: int) -> int:
        with self._lock:
            return self._backlog.rank(held, class_rank, self._parts.clock.wall_ms())

    def _should_yield(self, held: HeldJob) -> bool:
        if self.is_stopping:
            return True
        with self._lock:
            return self._backlog.should_yield(held, self._parts.clock.wall_ms())

    def _put_back(self, held: HeldJob, delay_ms: int) -> None:
        not_before_wall_ms = self._parts.clock.wall_ms() + delay_ms
        with self._lock:
            self._backlog.retry(held._replace(not_before_wall_ms=not_before_wall_ms))

    def _end(self, held: HeldJob, state: str, failure_code: str) -> None:
        self.finish(held.address, state, failure_code)
        self._leave(held)

    def _leave(self, held: HeldJob) -> None:
        with self._lock:
            self._backlog.finish(held, self._parts.clock.now_ms())
