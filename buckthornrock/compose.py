"""The composition root: wires every part of an instance from its settings.

Nothing else constructs parts. Each ``_build`` function wires one concern.
"""

import os
import random
import time
from collections.abc import Callable
from typing import IO, NamedTuple

from expression import Error, Result

from .admission import open_unlimited
from .conf import Settings
from .deferred import DeferredService, JobSubmission, open_deferred
from .dispatch import Caller, CompletionDispatcher, ServiceDispatcher
from .entry import EntryParts, build_entry
from .entry.auth import CallerKeys
from .entry.completions import build_request, collect_answer
from .entry.parsing import parse_completion
from .errors import Failure
from .events import lifecycle as events
from .fleet import Fleet
from .httpd import HttpServer, start_server
from .operator import OperatorParts, build_operator
from .operator.profiles import profile_routes
from .platform import KvPort, open_kv
from .profiles import open_profiles
from .profiles.store import ProfileStore
from .routing.least_loaded import open_least_loaded
from .runtime import PeriodicHandle, Timer, start_periodic, system_clock
from .telemetry import Telemetry, open_log, open_metrics
from .upstreams.engine_client import EngineClient
from .upstreams.service_client import ServiceClient

PROFILE_REFRESH_PERIOD_MS = 1_000


class Instance(NamedTuple):
    """A running instance.

    Parameters
    ----------
    entry, operator : HttpServer
        The two ports.
    stop : callable
        Graceful shutdown; returns the number of requests that were cut.
    """

    entry: HttpServer
    operator: HttpServer
    stop: Callable[[], int]


class _Core(NamedTuple):
    """Parts that the others are built on."""

    settings: Settings
    telemetry: Telemetry
    timer: Timer
    kv: KvPort
    rng: random.Random


def start_instance(settings: Settings, log_stream: IO[str] | None = None) -> Instance:
    """Wire and start an instance.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    log_stream : file-like, optional
        Destination of the log; None discards it.

    Raises
    ------
    OSError
        If a port can't be bound.
    """
    started_at_s = time.monotonic()
    core = _build_core(settings, log_stream)
    clock = system_clock()
    profiles = ProfileStore(core.kv, settings.default_profile)
    fleet = Fleet(settings.upstreams.servers, clock.now_ms)
    engines = EngineClient(settings.upstreams)
    completions = _build_completions(core, fleet, engines, clock.now_ms)
    services = ServiceDispatcher(fleet, ServiceClient(settings.upstreams), core.rng)
    parts = EntryParts(
        keys=CallerKeys(settings.caller_keys),
        profiles=open_profiles(profiles),
        completions=completions,
        services=services,
        deferred=None,
        telemetry=core.telemetry,
        clock=clock,
        default_profile=settings.default_profile,
    )
    service = DeferredService(core.kv, _build_job_runner(parts), core.telemetry)
    parts = parts._replace(deferred=open_deferred(service))
    loops = (
        _periodic(core, lambda: fleet.poll(engines.load), _poll_period_ms(core)),
        _periodic(core, profiles.refresh, PROFILE_REFRESH_PERIOD_MS),
    )
    entry = _start_entry(settings, parts)
    operator = _start_operator(settings, parts)
    core.telemetry.log(
        events.INSTANCE_STARTED,
        instance_id=settings.instance_id,
        failure_domain=settings.failure_domain,
        port=entry.port,
        duration_ms=round((time.monotonic() - started_at_s) * 1000.0, 1),
    )
    return Instance(entry, operator, lambda: _stop(core, loops, entry, operator))


def _build_core(settings: Settings, log_stream: IO[str] | None) -> _Core:
    telemetry_settings = settings.telemetry
    metrics = open_metrics(
        telemetry_settings.statsd_host,
        telemetry_settings.statsd_port,
        f"{telemetry_settings.statsd_prefix}.{settings.instance_id}",
    )
    telemetry = Telemetry(open_log(log_stream), metrics)
    rng = random.Random(os.urandom(16))
    kv = open_kv(settings.platform.kv, telemetry)
    return _Core(settings, telemetry, Timer(), kv, rng)


def _build_completions(
    core: _Core, fleet: Fleet, engines: EngineClient, now_ms: Callable[[], float]
) -> CompletionDispatcher:
    routing = open_least_loaded(core.settings.isolation_secret, core.rng)
    admission = open_unlimited(now_ms)
    return CompletionDispatcher(
        admission, routing, fleet, engines, core.telemetry, now_ms
    )


def _build_job_runner(
    parts: EntryParts,
) -> Callable[[str, JobSubmission], Result[dict, Failure]]:
    def run_job(job_id: str, job: JobSubmission) -> Result[dict, Failure]:
        is_chat = job.kind == "chat"
        fields = parse_completion(job.body, is_chat)
        if fields.is_error():
            return fields
        remaining_ms = max(1, job.deadline_wall_ms - parts.clock.wall_ms())
        headers = {
            "x-profile": job.profile,
            "x-work-class": job.work_class,
            "x-deadline-ms": str(remaining_ms),
        }
        caller = Caller(job.client_account, job.member)
        request = build_request(parts, caller, job_id, job.body, fields.ok, headers)
        if request.is_error():
            return Error(request.error)
        deferred = request.ok._replace(is_deferred=True)
        return collect_answer(parts, deferred, is_chat, lambda: False)

    return run_job


def _periodic(
    core: _Core, step: Callable[[], None], period_ms: float
) -> PeriodicHandle:
    def on_error(error: Exception) -> None:
        core.telemetry.log(
            events.STEP_FAILED,
            actor=getattr(step, "__qualname__", "step"),
            error_type=type(error).__name__,
            reason=str(error),
        )

    handle = start_periodic(core.timer, step, period_ms, on_error)
    handle.run_now()
    return handle


def _poll_period_ms(core: _Core) -> int:
    return core.settings.upstreams.poll_period_ms


def _start_entry(settings: Settings, parts: EntryParts) -> HttpServer:
    return start_server(
        settings.entry.host,
        settings.entry.port,
        build_entry(parts),
        settings.entry.n_threads,
        settings.entry.max_body_bytes,
        settings.entry.read_timeout_ms,
    )


def _start_operator(settings: Settings, entry_parts: EntryParts) -> HttpServer:
    parts = OperatorParts(
        keys_sha256=settings.operator.keys_sha256,
        is_ready=lambda: True,
        status=lambda: _status(settings, entry_parts),
        routes=profile_routes(entry_parts.profiles),
    )
    return start_server(
        settings.operator.host,
        settings.operator.port,
        build_operator(parts),
        settings.operator.n_threads,
    )


def _status(settings: Settings, parts: EntryParts) -> dict:
    records = [parts.profiles.current(name).ok for name in parts.profiles.names()]
    return {
        "instance_id": settings.instance_id,
        "failure_domain": settings.failure_domain,
        "profiles": {r.name: {"version": r.version, "trust": r.trust} for r in records},
    }


def _stop(
    core: _Core,
    loops: tuple[PeriodicHandle, ...],
    entry: HttpServer,
    operator: HttpServer,
) -> int:
    for loop in loops:
        loop.stop()
    core.timer.stop()
    entry.stop()
    operator.stop()
    return 0
