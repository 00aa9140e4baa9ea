"""Wires the limits on what clients of the two ports make an instance hold."""

import resource
from collections.abc import Callable
from typing import NamedTuple

from ..conf.settings import EntrySettings, OperatorSettings
from ..entry.client_reports import error_reporter, limit_reporter
from ..events import entry as events
from ..httpd import Handler, HttpServer, RequestHead, ServerLimits, start_server
from ..telemetry.metrics import CLIENT_CONNECTIONS, CLIENT_HELD_BYTES
from .core import Core, run_periodically

#: Descriptors for files, the log, polling and the connections to other instances.
N_RESERVED_DESCRIPTORS = 200
#: A port that is allowed fewer connections would be of no use.
MIN_CONNECTIONS = 8
REPORT_PERIOD_MS = 1_000.0


class ClientPort(NamedTuple):
    """One of the two ports, by its name in metrics and logs."""

    name: str
    section: EntrySettings | OperatorSettings
    handler: Handler
    needs_body: Callable[[RequestHead], bool]


def start_port(core: Core, port: ClientPort) -> HttpServer:
    """Start a port with its limits, and report what it holds."""
    section = port.section
    now_ms = core.clock.now_ms
    server = start_server(
        section.host,
        section.port,
        port.handler,
        section.n_threads,
        _limits(core, port),
        port.needs_body,
        limit_reporter(core.telemetry, now_ms, port.name),
        error_reporter(core.telemetry, now_ms, port.name),
    )
    metrics = core.telemetry.metrics

    def report() -> None:
        metrics.gauge(CLIENT_CONNECTIONS, server.n_connections(), label=port.name)
        metrics.gauge(CLIENT_HELD_BYTES, server.n_held_bytes(), label=port.name)

    run_periodically(core, f"{port.name}.limits", report, REPORT_PERIOD_MS)
    return server


def _limits(core: Core, port: ClientPort) -> ServerLimits:
    section = port.section
    n_allowed = min(section.max_connections, _n_connections(core, port.name))
    if n_allowed < section.max_connections:
        core.telemetry.log(
            events.CONNECTIONS_CAPPED,
            port=port.name,
            n_wanted=section.max_connections,
            n_allowed=n_allowed,
        )
    return ServerLimits(
        max_body_bytes=section.max_body_bytes,
        read_timeout_ms=section.read_timeout_ms,
        body_timeout_ms=section.body_timeout_ms,
        send_timeout_ms=section.send_timeout_ms,
        max_held_bytes=section.max_held_bytes,
        max_connections=n_allowed,
    )


def _n_connections(core: Core, port_name: str) -> int:
    """Return how many connections the process's descriptors allow at a port.

    Each thread of the callers' port may use one for an upstream.
    """
    n_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if n_descriptors == resource.RLIM_INFINITY:
        return core.settings.entry.max_connections + (
            core.settings.operator.max_connections
        )
    n_free = n_descriptors - N_RESERVED_DESCRIPTORS - core.settings.entry.n_threads
    # The operators' port gets its connections first, up to a quarter of them.
    n_operator = min(core.settings.operator.max_connections, n_free // 4)
    n_allowed = n_operator if port_name == "operator" else n_free - n_operator
    return max(MIN_CONNECTIONS, n_allowed)
