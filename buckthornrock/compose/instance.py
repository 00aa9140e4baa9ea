"""Joins all parts into one running instance."""

import time
from collections.abc import Callable
from typing import IO, NamedTuple

from ..conf import Settings
from ..dispatch.continuation import EventIds
from ..entry import EntryContext, build_body_check, build_entry_handler
from ..entry.auth import CallerKeys
from ..entry.client_reports import MAX_REFUSALS_PER_S, LineBudget
from ..entry.draining import DrainState, close_when_draining
from ..events import lifecycle as events
from ..httpd import HttpServer
from .admission import build_admission
from .client_limits import ClientPort, start_port
from .completions import build_completions
from .core import build_core
from .deferred import build_deferred
from .fleet import build_fleet
from .membership import build_membership
from .operator import start_operator
from .orders import build_orders
from .profiles import build_profiles
from .routing import build_routing, start_exports, start_polling
from .routing_peers import start_digests, start_level_reports
from .services import build_services
from .shutdown import Servers, stop_gracefully


class Instance(NamedTuple):
    """A running instance.

    Parameters
    ----------
    entry, operator : HttpServer
        The two ports.
    n_open : callable
        Number of requests in flight at the callers' port.
    stop : callable
        Graceful shutdown; returns the number of requests that were cut.
    """

    entry: HttpServer
    operator: HttpServer
    n_open: Callable[[], int]
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
    profiles = build_profiles(core, membership)
    admission = build_admission(core, membership, profiles, fleet.fleet)
    routing = build_routing(core, membership)
    start_polling(core, fleet, routing, membership)
    start_digests(core, fleet, routing, membership)
    start_level_reports(core, routing, membership)
    start_exports(core, fleet, routing)
    event_ids = EventIds(settings.isolation_secret)
    entry_context = EntryContext(
        keys=CallerKeys(settings.caller_keys),
        profiles=profiles,
        completions=build_completions(core, fleet, admission, routing, event_ids),
        services=build_services(core, fleet, profiles, membership),
        deferred=None,
        telemetry=core.telemetry,
        clock=core.clock,
        default_profile=settings.default_profile,
        event_ids=event_ids,
        refusal_lines=LineBudget(MAX_REFUSALS_PER_S, 1_000.0, core.clock.now_ms),
    )
    # Deferred jobs run through the other parts, so that port is filled in last.
    entry_context = entry_context._replace(
        deferred=build_deferred(core, entry_context, membership)
    )
    orders = build_orders(core, fleet, membership)
    draining = DrainState()
    entry = start_port(
        core,
        ClientPort(
            "entry",
            settings.entry,
            close_when_draining(build_entry_handler(entry_context), draining),
            build_body_check(entry_context.keys),
        ),
    )
    operator = start_operator(
        core, entry_context, membership, draining.is_ready, orders.routes
    )
    core.telemetry.log(
        events.INSTANCE_STARTED,
        instance_id=settings.instance_id,
        failure_domain=settings.failure_domain,
        port=entry.port,
        duration_ms=round((time.monotonic() - started_at_s) * 1000.0, 1),
    )
    servers = Servers(entry, operator)
    return Instance(
        entry,
        operator,
        n_open=entry.n_busy,
        stop=lambda: stop_gracefully(core, servers, draining),
    )
