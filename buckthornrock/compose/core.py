"""Wires what every other part is built on."""

import os
import random
from collections.abc import Callable
from typing import IO, NamedTuple

from ..conf import Settings
from ..events import lifecycle as events
from ..runtime import Clock, PeriodicHandle, Timer, start_periodic, system_clock
from ..runtime.start_jitter import make_start_check
from ..store import KvPort, LeaseHolder, open_kv
from ..store.instance_list import InstanceList
from ..telemetry import Telemetry
from ..telemetry.burn import BurnAccounts
from .telemetry import build_telemetry

INCARNATION_BYTES = 8
LEASE_STEP_PERIOD_MS = 500.0


class FleetSize:
    """The number of instances that share the fleet's budgets.

    Attributes
    ----------
    n_instances : callable
        Membership replaces it; until then the instance counts itself only.
    """

    def __init__(self) -> None:
        self.n_instances: Callable[[], int] = lambda: 1


class Core(NamedTuple):
    """Parts that the others are built on.

    ``lease`` is the one lease of this instance. ``loops`` collects every periodic
    actor, to be stopped at shutdown. ``drainers`` are called when a shutdown begins,
    so that the parts take on nothing more, and ``closers``, last to first, after the
    last request, to close what the parts opened. ``list_listeners`` take in the
    platform's instance list whenever it was read.
    """

    settings: Settings
    telemetry: Telemetry
    burn: BurnAccounts
    clock: Clock
    timer: Timer
    kv: KvPort
    lease: LeaseHolder
    fleet_size: FleetSize
    incarnation: str
    rng: random.Random
    loops: list[PeriodicHandle]
    drainers: list[Callable[[], None]]
    closers: list[Callable[[], None]]
    list_listeners: list[Callable[[InstanceList], None]]


def build_core(settings: Settings, log_stream: IO[str] | None) -> Core:
    """Wire telemetry, clock, timer, the key-value service and the lease."""
    clock = system_clock()
    telemetry, burn = build_telemetry(settings, clock, log_stream)
    rng = random.Random(os.urandom(16))
    fleet_size = FleetSize()
    kv_settings = settings.platform.kv
    kv = open_kv(kv_settings, telemetry, clock, rng, lambda: fleet_size.n_instances())
    incarnation = os.urandom(INCARNATION_BYTES).hex()
    guard_key = f"instances/{settings.instance_id}/{incarnation}"
    lease = LeaseHolder(kv, kv_settings.lease_ttl_s, clock.now_ms, telemetry, guard_key)
    core = Core(
        settings=settings,
        telemetry=telemetry,
        burn=burn,
        clock=clock,
        timer=Timer(),
        kv=kv,
        lease=lease,
        fleet_size=fleet_size,
        incarnation=incarnation,
        rng=rng,
        loops=[],
        drainers=[],
        closers=[lease.close],
        list_listeners=[],
    )
    _hold_lease(core)
    return core


def _hold_lease(core: Core) -> None:
    """Take the lease when it is this instance's turn, and renew it."""
    may_start = make_start_check(
        core.clock.now_ms, core.rng, lambda: core.fleet_size.n_instances()
    )

    def step() -> None:
        if may_start():
            core.lease.step()

    run_periodically(core, "platform.lease", step, LEASE_STEP_PERIOD_MS)


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
