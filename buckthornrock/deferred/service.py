"""Deferred jobs of one instance: acceptance, claims, runs and results.

The steps are driven by periodic actors and the runs by worker threads; nothing here
starts a thread.
"""

import threading

import msgspec
from expression import Error, Ok, Result

from ..errors import Failure
from ..events import deferred as events
from ..store import Compare
from ..telemetry.metrics import DEFERRED_FINISHED, DEFERRED_WAITING
from .acceptance import Acceptance, AcceptedSegment, Pending
from .backlog import Backlog, HeldJob
from .blobs import BlobStore
from .claims import ClaimTerms, read_terms
from .collection import Collector
from .errors import (
    NotAccepted,
    PromptGone,
    ReadFailure,
    RunBroken,
    SubmitFailure,
    UnknownJob,
)
from .holdings import Finished, HeldSegment, Holdings, SavedJob
from .ids import JobAddress
from .packing import PackedJob, pack, unpack
from .parts import DeferredParts, DeferredRules, JobControl
from .port import DeferredPort, JobSubmission, JobView
from .reachability import Reachability
from .reading import cancel_job, read_job
from .records import Job, Outcome, claim_key
from .running import (
    MAX_LOSSES,
    MAX_NOTED_ATTEMPTS,
    RETRY_DELAY_MS,
    judge,
    retry_delay_ms,
)
from .scan import FoundSegment, adopt, claim_again, release, scan_shard, shards_to_scan

#: The service counts as down this long after a call without an answer.
DOWN_MS = 2_000.0
SUBMIT_RETRY_MS = 200.0


class DeferredService:
    """Accepts jobs, runs those it holds and keeps their results."""

    def __init__(self, parts: DeferredParts, rules: DeferredRules) -> None:
        self._parts = parts
        self._rules = rules
        self._lock = threading.Lock()
        self._backlog = Backlog()
        self._blobs = BlobStore(parts.kv)
        self._collector = Collector(parts.kv)
        self._reachability = Reachability(DOWN_MS)
        self._acceptance = Acceptance(
            parts.kv,
            parts.ids,
            self._claim_terms,
            self._on_accepted,
            self._blobs.forget_pin,
        )
        self._holdings = Holdings(
            parts.kv, parts.clock.wall_ms, rules.retention_ms, self._on_saved
        )
        self._to_check: set[str] = set()
        self._n_submitters = 0
        self._next_commit_at_ms = 0.0
        self._is_stopping = False

    def submit(
        self, submission: JobSubmission, wait_ms: float = 0.0
    ) -> Result[str, SubmitFailure]:
        """Make the job durable and return its id."""
        clock = self._parts.clock
        if wait_ms <= 0.0 and not self._reachability.may_try(clock.now_ms()):
            return Error(NotAccepted("kv-unavailable", "true"))
        if not self._enter_submitter():
            return Error(NotAccepted("too-many-submitters", "true"))
        try:
            give_up_at_ms = clock.now_ms() + self._rules.submit_timeout_ms + wait_ms
            return self._submit(submission, give_up_at_ms)
        finally:
            with self._lock:
                self._n_submitters -= 1

    def enqueue(self, submission: JobSubmission) -> Result[Pending, NotAccepted]:
        """Hand a job to the next commit; its blobs are durable on return."""
        packed = pack(submission, self._parts.ids, self._parts.clock.wall_ms())
        pins = self._ensure_blobs(packed)
        if pins.is_error():
            return pins
        pending = Pending(packed, pins.ok)
        self._acceptance.enqueue(pending)
        return pins.map(lambda _: pending)

    def read(
        self, client_account: str, member: str, job_id: str
    ) -> Result[JobView, ReadFailure]:
        """Return the job's state, and its answer when it is done."""
        address = self._parts.ids.parse(job_id, client_account, member)
        if address is None:
            return Error(UnknownJob(job_id))
        local = self._local_view(job_id, address)
        return local or read_job(self._parts.kv, job_id, address)

    def cancel(
        self, client_account: str, member: str, job_id: str
    ) -> Result[JobView, ReadFailure]:
        """Cancel the job unless it has ended."""
        address = self._parts.ids.parse(job_id, client_account, member)
        if address is None:
            return Error(UnknownJob(job_id))
        view = cancel_job(self._parts.kv, job_id, address)
        if view.is_ok() and view.ok.state == "cancelled":
            with self._lock:
                self._backlog.drop(address)
            self._holdings.refresh(address.segment_id)
        return view

    def commit_step(self) -> None:
        """Commit accepted jobs and outcomes, within the fleet's write budget."""
        now_ms = self._parts.clock.now_ms()
        if now_ms < self._next_commit_at_ms:
            return
        has_answered = self._acceptance.step()
        has_answered = self._holdings.step() and has_answered
        now_ms = self._parts.clock.now_ms()
        if not has_answered:
            self._reachability.note(False, now_ms)
        n_live = max(1, len(self._parts.live_ids()))
        self._next_commit_at_ms = (
            now_ms + 1000.0 * n_live / self._rules.fleet_writes_per_s
        )

    def scan_step(self) -> None:
        """Renew lost claims, adopt segments without a holder, end expired jobs."""
        self._expire_jobs()
        self._claim_lost_again()
        self._check_claims()
        self._scan()
        with self._lock:
            self._backlog.project(self._parts.clock.wall_ms())
            n_waiting = self._backlog.n_waiting
        self._parts.telemetry.metrics.gauge(DEFERRED_WAITING, n_waiting)

    def collect_step(self) -> None:
        """Delete what is needed no more, if this instance is the one to do it."""
        live_ids = self._parts.live_ids()
        if live_ids and live_ids[0] == self._parts.self_id:
            self._collector.step(self._parts.clock.wall_ms())

    def run_next(self) -> bool:
        """Run one job, if one is ready and may be started; return whether one was."""
        if self._is_stopping or not self._may_run():
            return False
        with self._lock:
            held = self._backlog.take(self._parts.clock.wall_ms())
        if held is None:
            return False
        if not self._holdings.is_open(held.address):
            self._leave(held)
            return True
        if not self._is_claimed(held.address):
            self._put_back(held, RETRY_DELAY_MS)
            return False
        self._run(held)
        return True

    def stop(self) -> None:
        """Start no more jobs; what has ended is saved by the last steps."""
        self._is_stopping = True

    def close(self) -> None:
        """Save what has ended and give every segment back."""
        self._next_commit_at_ms = 0.0
        self.commit_step()
        for segment in self._holdings.all():
            # What can't be released now goes with the lease.
            if segment.epoch and not release(self._parts.kv, segment):
                return

    def _submit(
        self, submission: JobSubmission, give_up_at_ms: float
    ) -> Result[str, SubmitFailure]:
        clock = self._parts.clock
        pending = self.enqueue(submission)
        while pending.is_error():
            if clock.now_ms() + SUBMIT_RETRY_MS > give_up_at_ms:
                return pending
            clock.sleep_ms(SUBMIT_RETRY_MS)
            pending = self.enqueue(submission)
        remaining_s = max(0.0, give_up_at_ms - clock.now_ms()) / 1000.0
        if not pending.ok.settled.wait(remaining_s):
            self._acceptance.abandon(pending.ok)
        return pending.ok.result

    def _enter_submitter(self) -> bool:
        with self._lock:
            if self._n_submitters >= self._rules.max_waiting_submitters:
                return False
            self._n_submitters += 1
            return True

    def _ensure_blobs(
        self, packed: PackedJob
    ) -> Result[tuple[Compare, ...], NotAccepted]:
        until_ms = packed.needed_until_wall_ms
        pins = []
        for blob in packed.blobs:
            pin = self._blobs.ensure(blob, until_ms)
            if pin.is_error():
                self._blobs.forget_pin(blob.blob_id)
                return pin
            pins.append(pin.ok)
        return Ok(tuple(pins))

    def _claim_terms(self) -> ClaimTerms | None:
        with self._lock:
            is_full = self._backlog.n_waiting >= self._rules.max_held_jobs
        if is_full or self._is_stopping:
            return None
        return read_terms(self._parts.lease, self._parts.holder)

    def _on_accepted(self, accepted: AcceptedSegment) -> None:
        for job in accepted.segment.jobs:
            self._parts.telemetry.log(
                events.JOB_ACCEPTED,
                job_id=accepted.segment_id,
                client_account=job.client_account,
            )
        if accepted.claim == "unknown":
            self._to_check.add(accepted.segment_id)
        if accepted.claim == "held":
            self._hold(
                HeldSegment(
                    accepted.segment_id,
                    accepted.segment,
                    accepted.outcomes,
                    accepted.revision,
                    accepted.epoch,
                )
            )

    def _hold(self, segment: HeldSegment) -> None:
        if not self._holdings.add(segment):
            return
        with self._lock:
            self._backlog.drop_segment(segment.segment_id)
            self._backlog.add(_open_jobs(segment))

    def _on_saved(self, saved: SavedJob) -> None:
        self._parts.telemetry.metrics.incr(DEFERRED_FINISHED, label=saved.state)
        self._parts.telemetry.log(
            events.JOB_FINISHED,
            job_id=f"{saved.address.segment_id}-{saved.address.index}",
            client_account=saved.client_account,
            state=saved.state,
        )

    def _local_view(
        self, job_id: str, address: JobAddress
    ) -> Result[JobView, ReadFailure] | None:
        with self._lock:
            state = self._backlog.state(address)
        # Without a claim that stands, another instance may have ended the job.
        if not state or not self._is_claimed(address):
            return None
        return Ok(JobView(job_id, state, None, ""))

    def _expire_jobs(self) -> None:
        with self._lock:
            expired = self._backlog.expired(self._parts.clock.wall_ms())
        for held in expired:
            self._finish(held.address, "expired", "deadline-exceeded")

    def _claim_lost_again(self) -> None:
        terms = read_terms(self._parts.lease, self._parts.holder)
        if terms is None:
            return
        segments = self._holdings.all()
        stale = [s for s in segments if s.epoch not in (0, terms.epoch)]
        held, lost = claim_again(self._parts.kv, stale, terms)
        for segment in held:
            segment.epoch = terms.epoch
            # Another instance may have held it, and ended jobs, in between.
            self._holdings.refresh(segment.segment_id)
        for segment in lost:
            self._lose(segment)

    def _lose(self, segment: HeldSegment) -> None:
        with self._lock:
            self._backlog.drop_segment(segment.segment_id)
        segment.epoch = 0
        self._holdings.drop(segment.segment_id)
        self._parts.telemetry.log(events.SEGMENT_LOST, segment_id=segment.segment_id)

    def _scan(self) -> None:
        parts = self._parts
        with self._lock:
            is_idle = self._backlog.n_waiting * 2 < self._rules.max_held_jobs
        # Only an answered read tells that an outage is over.
        is_idle = is_idle or self._reachability.is_down
        for shard in shards_to_scan(
            parts.self_id, parts.live_ids(), is_idle, parts.rng
        ):
            found = scan_shard(parts.kv, shard)
            self._reachability.note(found.is_ok(), parts.clock.now_ms())
            if found.is_error():
                return
            for segment in found.ok:
                self._consider(segment)

    def _consider(self, found: FoundSegment) -> None:
        """Adopt a segment without a holder, if there is room for its jobs."""
        if self._acceptance.is_unsettled(found.segment_id):
            return
        if found.holder:
            self._consider_held(found)
            return
        terms = self._claim_terms()
        if terms is not None:
            self._adopt(found.segment_id, terms, claim_revision=0)

    def _consider_held(self, found: FoundSegment) -> None:
        """Look into a claim of this instance that it does not know of."""
        is_own = found.holder == self._parts.holder
        if is_own and self._holdings.get(found.segment_id) is None:
            self._to_check.add(found.segment_id)

    def _adopt(self, segment_id: str, terms: ClaimTerms, claim_revision: int) -> None:
        adopted = adopt(self._parts.kv, segment_id, terms, claim_revision)
        if adopted.is_error():
            # The claim may have been made; nobody else would look into that.
            self._to_check.add(segment_id)
            return
        if adopted.ok is None:
            return
        self._hold(adopted.ok)
        self._parts.telemetry.log(
            events.SEGMENT_ADOPTED,
            segment_id=segment_id,
            n_jobs=len(adopted.ok.segment.jobs),
            n_losses=adopted.ok.outcomes.n_losses,
        )

    def _check_claims(self) -> None:
        """Take in segments that are claimed here without this instance knowing."""
        terms = read_terms(self._parts.lease, self._parts.holder)
        if terms is None:
            return
        for segment_id in tuple(self._to_check):
            claim = self._parts.kv.get(claim_key(segment_id))
            if claim.is_error():
                return
            self._to_check.discard(segment_id)
            if claim.ok is None:
                # A lost claim may still arrive. Claiming again settles that: it
                # changes what the lost one compares.
                self._adopt(segment_id, terms, claim_revision=0)
            elif claim.ok.value == terms.holder.encode():
                self._adopt(segment_id, terms, claim.ok.mod_revision)

    def _may_run(self) -> bool:
        """Return whether jobs may be started now.

        While the service is down nobody can take this instance's segments over, so
        it works on what it holds, as long as the results fit in memory.
        """
        if self._holdings.n_unsaved_bytes > self._rules.max_unsaved_bytes:
            return False
        return self._reachability.is_down or self._parts.lease.holds()

    def _is_claimed(self, address: JobAddress) -> bool:
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
            is_lost=lambda: not self._is_claimed(held.address),
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
        if self._is_stopping:
            return True
        with self._lock:
            return self._backlog.should_yield(held, self._parts.clock.wall_ms())

    def _put_back(self, held: HeldJob, delay_ms: int) -> None:
        not_before_wall_ms = self._parts.clock.wall_ms() + delay_ms
        with self._lock:
            self._backlog.retry(held._replace(not_before_wall_ms=not_before_wall_ms))

    def _end(self, held: HeldJob, state: str, failure_code: str) -> None:
        self._finish(held.address, state, failure_code)
        self._leave(held)

    def _finish(self, address: JobAddress, state: str, failure_code: str) -> None:
        self._holdings.finish(address, Finished(Outcome(state, failure_code)))

    def _leave(self, held: HeldJob) -> None:
        with self._lock:
            self._backlog.finish(held, self._parts.clock.now_ms())


def _open_jobs(segment: HeldSegment) -> list[HeldJob]:
    jobs = zip(segment.segment.jobs, segment.outcomes.jobs, strict=True)
    return [
        HeldJob(JobAddress(segment.segment_id, index), job, outcome.n_attempts)
        for index, (job, outcome) in enumerate(jobs)
        if not outcome.is_final
    ]


def open_deferred(service: DeferredService) -> DeferredPort:
    """Return the port to ``service``."""
    return DeferredPort(service.submit, service.read, service.cancel)
