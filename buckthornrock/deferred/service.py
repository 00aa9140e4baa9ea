"""Deferred jobs of one instance: acceptance, claims, runs and results.

Periodic actors call the steps and worker threads call :meth:`DeferredService.run_next`;
nothing here starts a thread.
"""

import threading

from expression import Error, Ok, Result

from ..events import deferred as events
from ..store import Compare
from ..telemetry.metrics import DEFERRED_FINISHED, DEFERRED_WAITING
from .backlog import Backlog, HeldJob
from .blobs import BlobStore
from .claims import ClaimLease, read_claim_lease
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
from .scan import (
    ScannedSegment,
    reclaim,
    release,
    scan_shard,
    shards_to_scan,
    take_over,
)
from .submission_queue import AcceptedSegment, PendingSubmission, SubmissionQueue

#: After a call without a response, the key-value service counts as down for this long
#: and submissions that don't wait are refused at once.
KV_RETRY_MS = 2_000.0
SUBMIT_RETRY_MS = 200.0


class DeferredService:
    """Accepts jobs, runs those that this instance holds and stores their results."""

    def __init__(self, context: DeferredContext, config: DeferredConfig) -> None:
        self._context = context
        self._config = config
        self._lock = threading.Lock()
        self._backlog = Backlog()
        self._blobs = BlobStore(context.kv)
        self._collector = GarbageCollector(context.kv)
        self._reachability = Reachability(KV_RETRY_MS)
        self._submission_queue = SubmissionQueue(
            context.kv,
            context.ids,
            self._get_claim_lease,
            self._on_accepted,
            self._blobs.forget_pin,
        )
        self._held_segments = HeldSegments(
            context.kv, context.clock.wall_ms, config.retention_ms, self._on_saved
        )
        self._runner = JobRunner(
            context,
            config,
            self._backlog,
            self._lock,
            self._held_segments,
            self._blobs,
            self._reachability,
        )
        self._unverified_claims: set[str] = set()
        self._n_submitters = 0
        self._next_commit_at_ms = 0.0

    def submit(
        self, submission: JobSubmission, wait_ms: float = 0.0
    ) -> Result[str, SubmitFailure]:
        """Make the job durable and return its id.

        ``wait_ms`` is added to the submit timeout, for submitters that wait for the
        end of an outage.
        """
        clock = self._context.clock
        if wait_ms <= 0.0 and not self._reachability.may_try(clock.now_ms()):
            return Error(NotAccepted("kv-unavailable", "true"))
        if not self._admit_submitter():
            return Error(NotAccepted("too-many-submitters", "true"))
        try:
            submit_deadline_ms = (
                clock.now_ms() + self._config.submit_timeout_ms + wait_ms
            )
            return self._submit(submission, submit_deadline_ms)
        finally:
            with self._lock:
                self._n_submitters -= 1

    def enqueue(
        self, submission: JobSubmission
    ) -> Result[PendingSubmission, NotAccepted]:
        """Store the job's blobs and queue the job for the next commit."""
        packed = pack(submission, self._context.ids, self._context.clock.wall_ms())
        pins = self._ensure_blobs(packed)
        if pins.is_error():
            return pins
        pending = PendingSubmission(packed, pins.ok)
        self._submission_queue.enqueue(pending)
        return pins.map(lambda _: pending)

    def read(
        self, client_account: str, member: str, job_id: str
    ) -> Result[JobView, ReadFailure]:
        """Return the job's state, and its answer when it is done."""
        address = self._context.ids.parse(job_id, client_account, member)
        if address is None:
            return Error(UnknownJob(job_id))
        stored = read_job(self._context.kv, job_id, address)
        if stored.is_error() or stored.ok.state != "waiting":
            return stored
        # Open jobs are stored as waiting; only their holder knows which ones run.
        with self._lock:
            state = self._backlog.state(address)
        return Ok(stored.ok._replace(state=state or "waiting"))

    def cancel(
        self, client_account: str, member: str, job_id: str
    ) -> Result[JobView, ReadFailure]:
        """Cancel the job unless it has ended, and return its state."""
        address = self._context.ids.parse(job_id, client_account, member)
        if address is None:
            return Error(UnknownJob(job_id))
        view = cancel_job(self._context.kv, job_id, address)
        if view.is_ok() and view.ok.state == "cancelled":
            with self._lock:
                self._backlog.drop(address)
            self._held_segments.refresh(address.segment_id)
        return view

    def commit_step(self) -> None:
        """Commit submitted jobs and outcomes, within the fleet's write budget.

        Each instance commits at an equal share of the fleet's write rate.
        """
        now_ms = self._context.clock.now_ms()
        if now_ms < self._next_commit_at_ms:
            return
        has_answered = self._submission_queue.step()
        has_answered = self._held_segments.step() and has_answered
        now_ms = self._context.clock.now_ms()
        if not has_answered:
            self._reachability.record(False, now_ms)
        n_live = max(1, len(self._context.live_ids()))
        self._next_commit_at_ms = (
            now_ms + 1000.0 * n_live / self._config.fleet_writes_per_s
        )

    def scan_step(self) -> None:
        """Expire jobs, repair claims and claim segments that have no holder."""
        self._expire_jobs()
        self._reclaim_stale()
        self._verify_claims()
        self._scan()
        with self._lock:
            self._backlog.update_projection(self._context.clock.wall_ms())
            n_waiting = self._backlog.n_waiting
        self._context.telemetry.metrics.gauge(DEFERRED_WAITING, n_waiting)

    def collect_step(self) -> None:
        """Delete expired data if this instance is the first of the live ones."""
        live_ids = self._context.live_ids()
        if live_ids and live_ids[0] == self._context.self_id:
            self._collector.step(self._context.clock.wall_ms())

    def run_next(self) -> bool:
        """Run one job, if one is ready and may be started; return whether one was."""
        return self._runner.run_next()

    def stop(self) -> None:
        """Start no more jobs; later commit steps still save outcomes."""
        self._runner.stop()

    def close(self) -> None:
        """Save the outcomes of ended jobs and release every segment."""
        self._next_commit_at_ms = 0.0
        self.commit_step()
        for segment in self._held_segments.all():
            # A failed release isn't retried: the claims end with the lease.
            if segment.epoch and not release(self._context.kv, segment):
                return

    def _submit(
        self, submission: JobSubmission, submit_deadline_ms: float
    ) -> Result[str, SubmitFailure]:
        clock = self._context.clock
        pending = self.enqueue(submission)
        while pending.is_error():
            if clock.now_ms() + SUBMIT_RETRY_MS > submit_deadline_ms:
                return pending
            clock.sleep_ms(SUBMIT_RETRY_MS)
            pending = self.enqueue(submission)
        remaining_s = max(0.0, submit_deadline_ms - clock.now_ms()) / 1000.0
        if not pending.ok.settled.wait(remaining_s):
            self._submission_queue.abandon(pending.ok)
        return pending.ok.result

    def _admit_submitter(self) -> bool:
        with self._lock:
            if self._n_submitters >= self._config.max_waiting_submitters:
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

    def _get_claim_lease(self) -> ClaimLease | None:
        with self._lock:
            is_full = self._backlog.n_waiting >= self._config.max_held_jobs
        if is_full or self._runner.is_stopping:
            return None
        return read_claim_lease(self._context.lease, self._context.holder)

    def _on_accepted(self, accepted: AcceptedSegment) -> None:
        for index, job in enumerate(accepted.segment.jobs):
            address = JobAddress(accepted.segment_id, index)
            self._context.telemetry.log(
                events.JOB_ACCEPTED,
                job_id=self._context.ids.make(address, job.client_account, job.member),
                client_account=job.client_account,
            )
        if accepted.claim == "unknown":
            self._unverified_claims.add(accepted.segment_id)
        if accepted.claim == "held":
            self._add_segment(
                HeldSegment(
                    accepted.segment_id,
                    accepted.segment,
                    accepted.outcomes,
                    accepted.revision,
                    accepted.epoch,
                )
            )

    def _add_segment(self, segment: HeldSegment) -> None:
        if not self._held_segments.add(segment):
            return
        with self._lock:
            self._backlog.drop_segment(segment.segment_id)
            self._backlog.add(_open_jobs(segment))

    def _on_saved(self, saved: SavedJob) -> None:
        self._context.telemetry.metrics.incr(DEFERRED_FINISHED, label=saved.state)
        job = saved.job
        self._context.telemetry.log(
            events.JOB_FINISHED,
            job_id=self._context.ids.make(
                saved.address, job.client_account, job.member
            ),
            client_account=job.client_account,
            state=saved.state,
        )

    def _expire_jobs(self) -> None:
        with self._lock:
            expired = self._backlog.remove_expired(self._context.clock.wall_ms())
        for held in expired:
            self._runner.finish(held.address, "expired", "deadline-exceeded")

    def _reclaim_stale(self) -> None:
        claim_lease = read_claim_lease(self._context.lease, self._context.holder)
        if claim_lease is None:
            return
        segments = self._held_segments.all()
        stale = [s for s in segments if s.epoch not in (0, claim_lease.epoch)]
        reclaimed = reclaim(self._context.kv, stale, claim_lease)
        for segment in reclaimed.held:
            segment.epoch = claim_lease.epoch
        # Another instance may have held the segments and ended jobs in between. Those
        # that have changed are claimed in the next step, if they are still open.
        for segment in (*reclaimed.held, *reclaimed.changed):
            self._held_segments.refresh(segment.segment_id)
        for segment in reclaimed.lost:
            self._drop_lost(segment)

    def _drop_lost(self, segment: HeldSegment) -> None:
        with self._lock:
            self._backlog.drop_segment(segment.segment_id)
        segment.epoch = 0
        self._held_segments.drop(segment.segment_id)
        self._context.telemetry.log(events.SEGMENT_LOST, segment_id=segment.segment_id)

    def _scan(self) -> None:
        context = self._context
        with self._lock:
            is_idle = self._backlog.n_waiting * 2 < self._config.max_held_jobs
        # A successful read is the only sign that an outage is over, so that during an
        # outage every instance scans, also one that is busy and owns no shard.
        is_idle = is_idle or self._reachability.is_down
        for shard in shards_to_scan(
            context.self_id, context.live_ids(), is_idle, context.rng
        ):
            found = scan_shard(context.kv, shard)
            self._reachability.record(found.is_ok(), context.clock.now_ms())
            if found.is_error():
                return
            for segment in found.ok:
                self._handle_scanned(segment)

    def _handle_scanned(self, found: ScannedSegment) -> None:
        """Claim a segment without a holder if this instance may hold more jobs."""
        if self._submission_queue.is_unsettled(found.segment_id):
            return
        if found.holder:
            self._check_unknown_claim(found)
            return
        claim_lease = self._get_claim_lease()
        if claim_lease is not None:
            self._take_over(found.segment_id, claim_lease, claim_revision=0)

    def _check_unknown_claim(self, found: ScannedSegment) -> None:
        """Mark a claim of this instance for verification if the segment isn't held."""
        is_own = found.holder == self._context.holder
        if is_own and self._held_segments.get(found.segment_id) is None:
            self._unverified_claims.add(found.segment_id)

    def _take_over(
        self, segment_id: str, claim_lease: ClaimLease, claim_revision: int
    ) -> None:
        taken = take_over(self._context.kv, segment_id, claim_lease, claim_revision)
        if taken.is_error():
            # The claim may have been made. Other instances would see it and leave the
            # segment alone, so this one has to verify it.
            self._unverified_claims.add(segment_id)
            return
        if taken.ok is None:
            return
        self._add_segment(taken.ok)
        self._context.telemetry.log(
            events.SEGMENT_ADOPTED,
            segment_id=segment_id,
            n_jobs=len(taken.ok.segment.jobs),
            n_losses=taken.ok.outcomes.n_losses,
        )

    def _verify_claims(self) -> None:
        """Verify claims of this instance whose commit had an unknown result."""
        claim_lease = read_claim_lease(self._context.lease, self._context.holder)
        if claim_lease is None:
            return
        for segment_id in tuple(self._unverified_claims):
            claim = self._context.kv.get(claim_key(segment_id))
            if claim.is_error():
                return
            self._unverified_claims.discard(segment_id)
            if claim.ok is None:
                # The write of the claim may still be on its way. Claiming again makes
                # it fail, because this changes the revisions that it compares.
                self._take_over(segment_id, claim_lease, claim_revision=0)
            elif claim.ok.value == claim_lease.holder.encode():
                self._take_over(segment_id, claim_lease, claim.ok.mod_revision)


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
