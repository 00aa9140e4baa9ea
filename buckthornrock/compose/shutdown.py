"""Graceful shutdown of an instance.

The order matters: the balancer hears that the instance is not ready and takes a while
to act on it, so the instance accepts meanwhile. Then it stops accepting, finishes what
is in flight, and only after that leaves the fleet and closes what the parts opened.
"""

from collections.abc import Callable
from typing import NamedTuple

from ..entry.draining import DrainState, respond_when_stopped
from ..events import lifecycle as events
from ..httpd import HttpServer
from .core import Core

POLL_MS = 20.0
#: Looks in a row that must find nothing in flight.
N_QUIET_LOOKS = 3


class Servers(NamedTuple):
    """The two ports of an instance."""

    entry: HttpServer
    operator: HttpServer


def stop_gracefully(core: Core, servers: Servers, draining: DrainState) -> int:
    """Drain and stop the instance; return the number of requests that were cut."""
    started_at_ms = core.clock.now_ms()
    draining.begin()
    core.telemetry.log(
        events.INSTANCE_STOPPING,
        instance_id=core.settings.instance_id,
        n_open_requests=servers.entry.n_busy(),
    )
    _run_all(core, "drain", core.drainers)
    core.clock.sleep_ms(core.settings.entry.drain_grace_ms)
    servers.entry.stop_accepting()
    n_cut = _finish_requests(core, servers.entry, started_at_ms)
    # A request that came in now would meet parts that are being closed.
    servers.entry.close_idle()
    n_cut = n_cut or _finish_requests(core, servers.entry, started_at_ms)
    if n_cut:
        servers.entry.respond_to_open(respond_when_stopped(core.telemetry))
    _close(core, servers)
    core.telemetry.log(
        events.INSTANCE_STOPPED,
        instance_id=core.settings.instance_id,
        n_cut_requests=n_cut,
        duration_ms=round(core.clock.now_ms() - started_at_ms, 1),
    )
    return n_cut


def _finish_requests(core: Core, entry: HttpServer, started_at_ms: float) -> int:
    give_up_at_ms = started_at_ms + core.settings.entry.drain_limit_ms
    n_quiet = 0
    while n_quiet < N_QUIET_LOOKS:
        n_busy = entry.n_busy()
        if n_busy and core.clock.now_ms() >= give_up_at_ms:
            return n_busy
        n_quiet = 0 if n_busy else n_quiet + 1
        core.clock.sleep_ms(POLL_MS)
    return 0


def _close(core: Core, servers: Servers) -> None:
    for loop in core.loops:
        loop.stop()
    core.timer.stop()
    _run_all(core, "close", core.closers[::-1])
    servers.entry.stop()
    servers.operator.stop()


def _run_all(core: Core, phase: str, functions: list[Callable[[], None]]) -> None:
    for function in functions:
        try:
            function()
        except Exception as error:  # noqa: BLE001 - the others must still be closed
            core.telemetry.log(
                events.STEP_FAILED,
                actor=f"shutdown.{phase}",
                error_type=type(error).__name__,
                reason=str(error),
            )
