"""Deferred jobs of one instance: acceptance, claims, runs and results.

The steps are driven by periodic actors and the runs by worker threads; nothing here
starts a thread.
"""

import threading

from expression import Error, Ok, Result

from ..events import deferred as events
from ..store import Compare
from ..telemetry.metrics import DEFERRED_FINISHED, DEFERRED_WAITING
from .backlog import Backlog, HeldJob
from .blobs import BlobStore
from .claims import ClaimTerms, read_terms
from .context import DeferredConfig, DeferredContext
from .errors import (
    NotAccepted,
    ReadFailure,
    SubmitFailure,
    UnknownJob,
)
from .garbage_collection import GarbageCollector
from .held_segments import HeldSegment, HeldSegments, SavedJob
from .ids import JobAddress
from .job_access import cancel_job, read_job
from .packing import PackedJob, pack
from .port import DeferredPort, JobSubmission, JobView
from .reachability import Reachability
from .records import claim_key
from .runner import JobRunner
from .scan import FoundSegment, adopt, claim_again, release, scan_shard, shards_to_scan
from .submission_queue import AcceptedSegment, Pending, SubmissionQueue

#: The service counts as down this long after a call without an answer.
DOWN_MS = 2_000.0
SUBMIT_RETRY_MS = 200.0


class DeferredService:
    """Accepts jobs, runs those it holds and keeps their results."""

    def __init__(self, parts: DeferredContext, rules: DeferredConfig) -> None:
        self._parts = parts
        self._rules = rules
        self._lock = threading.Lock()
        self._backlog = Backlog()
        self._blobs = BlobStore(parts.kv)
        self._collector = GarbageCollector(parts.kv)
        self._reachability = Reachability(DOWN_MS)
        self._acceptance = SubmissionQueue(
            parts.kv,
            parts.ids,
            self._claim_terms,
            self._on_accepted,
            self._blobs.forget_pin,
        )
        self._holdings = HeldSegments(
            parts.kv, parts.clock.wall_ms, rules.retention_ms, self._on_saved
        )
        self._runner = JobRunner(
            parts,
            rules,
            self._backlog,
            self._lock,
            self._holdings,
            self._blobs,
            self._reachability,
        )
        self._to_check: set[str] = set()
        self._n_submitters = 0
        self._next_commit_at_ms = 0.0

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
        return self._runner.run_next()

    def stop(self) -> None:
        """Start no more jobs; what has ended is saved by the last steps."""
        self._runner.stop()

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
        if is_full or self._runner.is_stopping:
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
        if not state or not self._runner.is_claimed(address):
            return None
        return Ok(JobView(job_id, state, None, ""))

    def _expire_jobs(self) -> None:
        with self._lock:
            expired = self._backlog.expired(self._parts.clock.wall_ms())
        for held in expired:
            self._runner.finish(held.address, "expired", "deadline-exceeded")

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
