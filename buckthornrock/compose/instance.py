"""Joins all parts into one running instance."""

import time
from collections.abc import Callable
from typing import IO, NamedTuple

from ..conf import Settings
from ..dispatch.continuation import EventIds
from ..entry import EntryParts, build_entry
from ..entry.auth import CallerKeys
from ..events import lifecycle as events
from ..httpd import HttpServer, start_server
from .admission import build_admission
from .completions import build_completions
from .core import Core, build_core
from .deferred import build_deferred
from .fleet import build_fleet
from .membership import build_membership
from .operator import start_operator
from .profiles import build_profiles
from .routing import build_routing, start_exports, start_polling
from .routing_peers import start_digests, start_level_reports
from .services import build_services


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
    core = build_core(settings, log_stream)
    # The fleet listens to the instance list, which membership starts to read.
    fleet = build_fleet(core)
    membership = build_membership(core)
    profiles = build_profiles(core)
    admission = build_admission(core, membership, profiles, fleet.fleet)
    routing = build_routing(core, membership)
    start_polling(core, fleet, routing, membership)
    start_digests(core, fleet, routing, membership)
    start_level_reports(core, routing, membership)
    start_exports(core, fleet, routing)
    event_ids = EventIds(settings.isolation_secret)
    parts = EntryParts(
        keys=CallerKeys(settings.caller_keys),
        profiles=profiles,
        completions=build_completions(core, fleet, admission, routing, event_ids),
        services=build_services(core, fleet, profiles, membership),
        deferred=None,
        telemetry=core.telemetry,
        clock=core.clock,
        default_profile=settings.default_profile,
        event_ids=event_ids,
    )
    # Deferred jobs run through the other parts, so that port is filled in last.
    parts = parts._replace(deferred=build_deferred(core, parts, membership))
    entry = _start_entry(settings, parts)
    operator = start_operator(core, parts, membership)
    core.telemetry.log(
        events.INSTANCE_STARTED,
        instance_id=settings.instance_id,
        failure_domain=settings.failure_domain,
        port=entry.port,
        duration_ms=round((time.monotonic() - started_at_s) * 1000.0, 1),
    )
    return Instance(entry, operator, lambda: _stop(core, entry, operator))


def _start_entry(settings: Settings, parts: EntryParts) -> HttpServer:
    section = settings.entry
    return start_server(
        section.host,
        section.port,
        build_entry(parts),
        section.n_threads,
        section.max_body_bytes,
        section.read_timeout_ms,
    )


def _stop(core: Core, entry: HttpServer, operator: HttpServer) -> int:
    for loop in core.loops:
        loop.stop()
    core.timer.stop()
    entry.stop()
    operator.stop()
    for close in reversed(core.closers):
        close()
    return 0
