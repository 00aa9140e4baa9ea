"""Runs the jobs that an instance holds; each worker thread runs one at a time."""

import threading

import msgspec
from expression import Error, Ok, Result

from ..errors import Failure
from ..events import deferred as events
from .backlog import Backlog, HeldJob
from .blobs import BlobStore
from .context import DeferredConfig, DeferredContext, JobControl
from .errors import PromptGone, RunBroken
from .held_segments import HeldSegments, UnsavedOutcome
from .ids import JobAddress
from .packing import unpack
from .port import JobSubmission
from .reachability import Reachability
from .records import Job, Outcome
from .retry_policy import (
    MAX_LOST_HOLDERS,
    MAX_RECORDED_ATTEMPTS,
    RETRY_DELAY_MS,
    decide_retry,
    retry_delay_ms,
)


class JobRunner:
    """Takes jobs from the backlog, runs them and handles their outcome.

    Parameters
    ----------
    context : DeferredContext
        What deferred work depends on, such as the lease and ``run_job``.
    config : DeferredConfig
        Settings; the limit of unsaved results is used here.
    backlog : Backlog
        Waiting and running jobs, guarded by ``lock``.
    lock : threading.Lock
        Held while the backlog is used; shared with the service.
    held_segments : HeldSegments
        The segments that this instance holds, with their outcomes.
    blobs : BlobStore
        Shared prefixes and large prompts of jobs.
    reachability : Reachability
        Whether the key-value service is reachable.

    Attributes
    ----------
    is_stopping : bool
        True after :meth:`stop`: no more jobs are started.
    """

    def __init__(
        self,
        context: DeferredContext,
        config: DeferredConfig,
        backlog: Backlog,
        lock: threading.Lock,
        held_segments: HeldSegments,
        blobs: BlobStore,
        reachability: Reachability,
    ) -> None:
        self._context = context
        self._config = config
        self._backlog = backlog
        self._lock = lock
        self._held_segments = held_segments
        self._blobs = blobs
        self._reachability = reachability
        self.is_stopping = False

    def stop(self) -> None:
        """Start no more jobs, and let those that were not sent yet yield."""
        self.is_stopping = True

    def finish(self, address: JobAddress, state: str, failure_code: str) -> None:
        """Set a job's final state; the next commit saves it."""
        self._held_segments.finish(
            address, UnsavedOutcome(Outcome(state, failure_code))
        )

    def run_next(self) -> bool:
        """Run one job, if one is ready and may be started; return whether one was."""
        if self.is_stopping or not self._may_run():
            return False
        with self._lock:
            held = self._backlog.pop_next(self._context.clock.wall_ms())
        if held is None:
            return False
        if not self._held_segments.is_open(held.address):
            self._remove(held)
            return True
        if not self.is_claimed(held.address):
            self._requeue(held, RETRY_DELAY_MS)
            return False
        self._run(held)
        return True

    def _may_run(self) -> bool:
        """Return whether jobs may be started now.

        While the key-value service is down, no other instance can claim this one's
        segments. Jobs then run without a valid lease, up to the limit of unsaved
        results in memory.
        """
        if self._held_segments.n_unsaved_bytes > self._config.max_unsaved_bytes:
            return False
        return self._reachability.is_down or self._context.lease.holds()

    def is_claimed(self, address: JobAddress) -> bool:
        """Return whether this instance may run a job or go on running it."""
        if self._reachability.is_down:
            return True
        segment = self._held_segments.get(address.segment_id)
        if segment is None or not self._context.lease.holds():
            return False
        return segment.epoch == self._context.lease.epoch()

    def _run(self, held: HeldJob) -> None:
        if not self._record_start(held):
            return
        # Recorded starts count runs that ended their instance. A retry after a run that
        # returned is no such start, so it isn't recorded again.
        held = held._replace(is_start_recorded=True)
        try:
            answer = self._load_and_run(held)
        except Exception as error:  # noqa: BLE001 - a bad job must not end its worker
            self._context.telemetry.log(
                events.RUN_BROKEN,
                segment_id=held.address.segment_id,
                index=held.address.index,
                error_type=type(error).__name__,
            )
            answer = Error(RunBroken())
        if answer.is_ok():
            self._held_segments.finish(
                held.address, UnsavedOutcome(Outcome("done"), answer.ok)
            )
            self._remove(held)
            return
        self._handle_failure(held, answer.error)

    def _load_and_run(self, held: HeldJob) -> Result[bytes, Failure]:
        """Run the job and return the JSON of its answer."""
        submission = self._load_submission(held.job)
        if submission.is_error():
            return submission
        if submission.ok is None:
            return Error(PromptGone())
        address, job = held.address, held.job
        job_id = self._context.ids.make(address, job.client_account, job.member)
        control = JobControl(
            rank=lambda class_rank: self._rank(held, class_rank),
            is_lost=lambda: not self.is_claimed(held.address),
            should_yield=lambda: self._should_yield(held),
        )
        result = self._context.run_job(job_id, submission.ok, control)
        return result.map(msgspec.json.encode)

    def _load_submission(self, job: Job) -> Result[JobSubmission | None, Failure]:
        """Return the job as submitted, or None if its prompt was deleted."""
        contents = []
        for blob_id in (job.prefix_id, job.blob_id):
            content = self._blobs.load(blob_id) if blob_id else Ok(b"")
            if content.is_error() or content.ok is None:
                return content
            contents.append(content.ok)
        return Ok(unpack(job, *contents))

    def _record_start(self, held: HeldJob) -> bool:
        """Record the start of a job in a segment that has lost several holders.

        A job of such a segment may crash the instance that runs it. It fails once
        too many recorded starts had no outcome. Returns whether to run the job now.
        """
        segment = self._held_segments.get(held.address.segment_id)
        if segment is None:
            self._remove(held)
            return False
        if held.is_start_recorded or segment.outcomes.n_losses < MAX_LOST_HOLDERS:
            return True
        outcome = segment.outcomes.jobs[held.address.index]
        if outcome.n_attempts >= MAX_RECORDED_ATTEMPTS:
            self._finish_and_remove(held, "failed", "holders-lost")
            return False
        if self._held_segments.record_attempt(held.address):
            return True
        self._requeue(held, RETRY_DELAY_MS)
        return False

    def _handle_failure(self, held: HeldJob, failure: Failure) -> None:
        decision = decide_retry(failure, held.n_attempts + 1)
        if decision == "fail":
            self._finish_and_remove(held, "failed", failure.code)
            return
        n_attempts = held.n_attempts + (decision == "retry")
        self._context.telemetry.log(
            events.JOB_RETRIED,
            segment_id=held.address.segment_id,
            index=held.address.index,
            failure=failure.code,
            n_attempts=n_attempts,
        )
        delay_ms = retry_delay_ms(failure, n_attempts)
        self._requeue(held._replace(n_attempts=n_attempts), delay_ms)

    def _rank(self, held: HeldJob, class_rank: int) -> int:
        with self._lock:
            return self._backlog.rank(held, class_rank, self._context.clock.wall_ms())

    def _should_yield(self, held: HeldJob) -> bool:
        if self.is_stopping:
            return True
        with self._lock:
            return self._backlog.should_yield(held, self._context.clock.wall_ms())

    def _requeue(self, held: HeldJob, delay_ms: int) -> None:
        not_before_wall_ms = self._context.clock.wall_ms() + delay_ms
        with self._lock:
            self._backlog.requeue(held._replace(not_before_wall_ms=not_before_wall_ms))

    def _finish_and_remove(self, held: HeldJob, state: str, failure_code: str) -> None:
        self.finish(held.address, state, failure_code)
        self._remove(held)

    def _remove(self, held: HeldJob) -> None:
        with self._lock:
            self._backlog.finish(held, self._context.clock.now_ms())
