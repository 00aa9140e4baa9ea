"""Wires deferred work."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Result

from ..deferred import DeferredPort, DeferredService, JobSubmission, open_deferred
from ..deferred.claims import LeasePort
from ..deferred.context import DeferredConfig, DeferredContext, JobControl, RunJob
from ..deferred.errors import NoTrustedProfile
from ..deferred.ids import open_job_ids
from ..dispatch import Caller, CompletionRequest, CompletionSink
from ..dispatch.requests import CompletionDone
from ..entry import EntryContext
from ..entry.completions import build_request, collect_response
from ..entry.parsing import MAX_DEADLINE_MS, parse_completion
from ..errors import Failure
from ..membership import MembershipPort
from ..upstreams.engine_messages import EngineChunk
from .core import Core, run_periodically

#: How often a step looks whether it has something to do.
COMMIT_PERIOD_MS = 50
COLLECT_PERIOD_MS = 5_000
IDLE_WAIT_S = 0.1


def build_deferred(
    core: Core, entry_context: EntryContext, membership: MembershipPort
) -> DeferredPort:
    """Wire deferred jobs; they run through the same parts as callers' requests."""
    view = membership.self_view()
    deferred_context = DeferredContext(
        kv=core.kv,
        lease=_lease_port(core),
        ids=open_job_ids(core.settings.isolation_secret),
        run_job=build_job_runner(entry_context),
        clock=core.clock,
        telemetry=core.telemetry,
        rng=core.rng,
        holder=f"{view.instance_id}/{view.incarnation}",
        self_id=view.instance_id,
        live_ids=lambda: tuple(live.instance_id for live in membership.live()),
    )
    service = DeferredService(deferred_context, _config(core))
    section = core.settings.deferred
    run_periodically(core, "deferred.commit", service.commit_step, COMMIT_PERIOD_MS)
    run_periodically(core, "deferred.scan", service.scan_step, section.scan_period_ms)
    run_periodically(core, "deferred.collect", service.collect_step, COLLECT_PERIOD_MS)
    _start_workers(core, service, section.n_workers)
    return open_deferred(service)


def _lease_port(core: Core) -> LeasePort:
    lease = core.lease
    return LeasePort(
        holds=lambda: lease.holds(core.clock.now_ms()),
        lease_id=lambda: lease.lease_id,
        epoch=lambda: lease.epoch,
        guard=lease.guard,
    )


def _config(core: Core) -> DeferredConfig:
    section = core.settings.deferred
    kv = core.settings.platform.kv
    n_threads = core.settings.entry.n_threads
    return DeferredConfig(
        max_held_jobs=section.max_held_jobs,
        max_unsaved_bytes=section.max_unsaved_bytes,
        max_waiting_submitters=max(1, int(n_threads * section.submitter_thread_share)),
        submit_timeout_ms=section.submit_timeout_ms,
        retention_ms=section.retention_ms,
        fleet_writes_per_s=kv.fleet_writes_per_s * section.kv_write_share,
    )


def _start_workers(core: Core, service: DeferredService, n_workers: int) -> None:
    """Run jobs in threads; the last closer waits for those in progress."""
    is_stopping = threading.Event()

    def work() -> None:
        while not is_stopping.is_set():
            if not service.run_next():
                is_stopping.wait(IDLE_WAIT_S)

    threads = [
        threading.Thread(target=work, name=f"deferred-{index}", daemon=True)
        for index in range(n_workers)
    ]
    for thread in threads:
        thread.start()

    def close() -> None:
        service.stop()
        is_stopping.set()
        for thread in threads:
            thread.join()
        service.close()

    core.closers.append(close)


def build_job_runner(entry_context: EntryContext) -> RunJob:
    """Return a function that runs one job to its whole response."""

    def run_job(
        job_id: str, job: JobSubmission, control: JobControl
    ) -> Result[dict, Failure]:
        is_chat = job.kind == "chat"
        fields = parse_completion(job.body, is_chat)
        if fields.is_error():
            return fields
        record = entry_context.profiles.current(job.profile)
        if record.is_ok() and record.ok.trust == "start":
            return Error(NoTrustedProfile(job.profile))
        remaining_ms = max(1, job.deadline_wall_ms - entry_context.clock.wall_ms())
        # A profile may allow more time than a header may state.
        remaining_ms = min(remaining_ms, MAX_DEADLINE_MS)
        headers = {
            "x-profile": job.profile,
            "x-work-class": job.work_class,
            "x-deadline-ms": str(remaining_ms),
        }
        caller = Caller(job.client_account, job.member)
        request = build_request(
            entry_context, caller, job_id, job.body, fields.ok, headers
        )
        if request.is_error():
            return Error(request.error)
        work_class = request.ok.work_class
        ranked = {**work_class, "rank": control.rank(work_class["rank"])}
        deferred = request.ok._replace(is_deferred=True, work_class=ranked)
        run = _yielding_run(entry_context, control)
        runner = entry_context._replace(completions=_Runner(run))
        return collect_response(runner, deferred, is_chat, control.is_lost)

    return run_job


class _Runner(NamedTuple):
    """Stands for the dispatcher in the run of one job."""

    run: Callable[[CompletionRequest, CompletionSink], Result[CompletionDone, Failure]]


def _yielding_run(
    entry_context: EntryContext, control: JobControl
) -> Callable[[CompletionRequest, CompletionSink], Result[CompletionDone, Failure]]:
    """Let a run make way for another job, but only until its response has begun."""

    def run(
        request: CompletionRequest, sink: CompletionSink
    ) -> Result[CompletionDone, Failure]:
        has_begun = False

        def encode(chunks: list[EngineChunk], event_ids: list[bytes]) -> bytes:
            nonlocal has_begun
            has_begun = True
            return sink.encode(chunks, event_ids)

        def is_gone() -> bool:
            return sink.is_gone() or (not has_begun and control.should_yield())

        return entry_context.completions.run(
            request, CompletionSink(encode, sink.socket, is_gone)
        )

    return run
