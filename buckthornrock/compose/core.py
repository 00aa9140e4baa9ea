"""Wires what every other part is built on."""

import os
import random
from collections.abc import Callable
from typing import IO, NamedTuple

from ..conf import Settings
from ..events import lifecycle as events
from ..platform import KvPort, open_kv
from ..platform.instance_list import InstanceList
from ..runtime import Clock, PeriodicHandle, Timer, start_periodic, system_clock
from ..telemetry import Telemetry, open_log, open_metrics


class Core(NamedTuple):
    """Parts that the others are built on.

    ``loops`` collects every periodic actor, to be stopped at shutdown. ``drainers``
    are called when a shutdown begins, so that the parts take on nothing more, and
    ``closers`` after the last request, to close what the parts opened.
    ``list_listeners`` take in the platform's instance list whenever it was read.
    """

    settings: Settings
    telemetry: Telemetry
    clock: Clock
    timer: Timer
    kv: KvPort
    rng: random.Random
    loops: list[PeriodicHandle]
    drainers: list[Callable[[], None]]
    closers: list[Callable[[], None]]
    list_listeners: list[Callable[[InstanceList], None]]


def build_core(settings: Settings, log_stream: IO[str] | None) -> Core:
    """Wire telemetry, clock, timer and the key-value service."""
    section = settings.telemetry
    prefix = f"{section.statsd_prefix}.{settings.instance_id}"
    metrics = open_metrics(section.statsd_host, section.statsd_port, prefix)
    telemetry = Telemetry(open_log(log_stream), metrics)
    return Core(
        settings=settings,
        telemetry=telemetry,
        clock=system_clock(),
        timer=Timer(),
        kv=open_kv(settings.platform.kv, telemetry),
        rng=random.Random(os.urandom(16)),
        loops=[],
        drainers=[],
        closers=[],
        list_listeners=[],
    )


def run_periodically(
    core: Core, name: str, step: Callable[[], None], period_ms: float
) -> PeriodicHandle:
    """Run ``step`` at once and then about every ``period_ms``, until shutdown."""

    def on_error(error: Exception) -> None:
        core.telemetry.log(
            events.STEP_FAILED,
            actor=name,
            error_type=type(error).__name__,
            reason=str(error),
        )

    handle = start_periodic(core.timer, step, period_ms, on_error)
    handle.run_now()
    core.loops.append(handle)
    return handle
