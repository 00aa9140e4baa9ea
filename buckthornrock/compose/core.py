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
from ..telemetry import Telemetry
from ..telemetry.burn import BurnAccounts
from .telemetry import build_telemetry


class Core(NamedTuple):
    """Parts that the others are built on.

    ``loops`` collects every periodic actor, to be stopped at shutdown, and
    ``closers`` the functions that close what the parts opened. ``list_listeners``
    take in the platform's instance list whenever it was read.
    """

    settings: Settings
    telemetry: Telemetry
    burn: BurnAccounts
    clock: Clock
    timer: Timer
    kv: KvPort
    rng: random.Random
    loops: list[PeriodicHandle]
    closers: list[Callable[[], None]]
    list_listeners: list[Callable[[InstanceList], None]]


def build_core(settings: Settings, log_stream: IO[str] | None) -> Core:
    """Wire telemetry, clock, timer and the key-value service."""
    clock = system_clock()
    telemetry, burn = build_telemetry(settings, clock, log_stream)
    return Core(
        settings=settings,
        telemetry=telemetry,
        burn=burn,
        clock=clock,
        timer=Timer(),
        kv=open_kv(settings.platform.kv, telemetry),
        rng=random.Random(os.urandom(16)),
        loops=[],
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
