"""Wires and runs an instance on the users' platform."""

import asyncio
import os
import signal
import threading
from collections.abc import Callable
from typing import IO

import pykka

from ..admission.fleet_quota import FleetQuota
from ..admission.quota_limits import QuotaBound
from ..conf import Problem
from ..events import gateway as events
from ..gateway.account_quotas import AccountQuotas
from ..gateway.crash_watch import CrashWatch
from ..gateway.dispatcher import Dispatcher
from ..gateway.exchange_context import ExchangeContext
from ..gateway.fleet_state import FleetState
from ..gateway.gateway import Gateway, GatewaySettings
from ..gateway.isolation_recorder import IsolationRecorder, RecordedAccounts
from ..gateway.memory_budget import budget_limits, n_upstream_connections
from ..gateway.peer_settings import PeerSettings
from ..gateway.peers import PeerExchange
from ..gateway.pool import ConnectionPool
from ..gateway.rollout_inputs import collect_rollout_inputs
from ..gateway.state_sync import StateSync
from ..gateway.stopping import Stopping
from ..platform.configuration import decode_configuration
from ..platform.engine_control import open_engine_control
from ..platform.headers import open_header_codec
from ..platform.settings import (
    PATH_VARIABLE,
    NodeSettings,
    SettingsUnreadable,
    load_node_settings,
)
from ..platform.store_client import open_store
from ..platform.store_listeners import store_listener
from ..rollout.actor import RolloutActor
from ..rollout.port import RolloutCallbacks, RolloutInputs
from ..rollout.rollout_lease import RolloutLease
from ..runtime import system_clock
from ..runtime.allocator import return_large_blocks
from ..scheduling.retry_budget import RetryBudget
from ..scheduling.weights import WeightsView
from ..store.kv_port import StorePort
from ..store.store_watcher import StoreWatcher, WatchControl
from ..telemetry import Telemetry, open_log
from ..telemetry.exposition import open_exposition
from ..telemetry.log_writer import LogWriter

#: No request is placed on replaced weights from this long before the platform's bound
#: on, and one that was may start until this long before it.
WEIGHTS_MARGIN_MS = 1_500.0
START_MARGIN_MS = 500.0
BYTES_PER_MB = 1_000_000
#: Time at the end for lines that are not written yet.
LOG_FLUSH_LIMIT_S = 0.3


def platform_settings_path() -> str:
    """Return where the platform's settings file is, "" if it names none."""
    return os.environ.get(PATH_VARIABLE, "")


def find_platform_problems(path: str) -> list[Problem]:
    """Return every problem of the platform's settings file."""
    settings = load_node_settings(path)
    return list(settings.error.problems) if settings.is_error() else []


def run_on_platform(
    path: str, log_stream: IO[str], metrics_port: int = 0
) -> SettingsUnreadable:
    """Serve until SIGTERM, finish every request and end the process.

    Returns only if the settings can't be read. ``metrics_port`` 0 serves no metrics.
    """
    settings = load_node_settings(path)
    if settings.is_error():
        return settings.error
    return_large_blocks()
    exposition = open_exposition()
    writer = LogWriter(log_stream)
    telemetry = Telemetry(open_log(writer), exposition.metrics)
    if settings.ok.ignored_fields:
        telemetry.log(
            events.SETTINGS_FIELDS_IGNORED, fields=list(settings.ok.ignored_fields)
        )
    metrics_address = f"{settings.ok.ip}:{metrics_port}" if metrics_port else ""
    asyncio.run(_run(settings.ok, telemetry, metrics_address, exposition.render))
    writer.close(LOG_FLUSH_LIMIT_S)
    # The prefix watchers wait in long polls and hold nothing that must be released.
    os._exit(0)


async def _run(
    settings: NodeSettings,
    telemetry: Telemetry,
    metrics_address: str,
    render_metrics: Callable[[], str],
) -> None:
    now_ms = system_clock().now_ms
    bounds = settings.bounds
    loop = asyncio.get_running_loop()
    weights = WeightsView(
        bounds.version_ms - WEIGHTS_MARGIN_MS, WEIGHTS_MARGIN_MS - START_MARGIN_MS
    )
    fleet_state = FleetState(settings.zone, weights, now_ms, telemetry)
    store = open_store(settings.platform.addr, telemetry, now_ms)
    codec = open_header_codec()
    n_upstream = n_upstream_connections(settings.limits.max_fds)
    pool = ConnectionPool(codec, now_ms, n_upstream)
    quotas = _open_quotas(settings, fleet_state, now_ms, telemetry)
    peers = PeerExchange(_peer_settings(settings), fleet_state, now_ms, quotas=quotas)
    is_watch_wanted = threading.Event()
    recorder = IsolationRecorder.start(store, telemetry)
    StoreWatcher.start(
        store,
        store_listener(
            fleet_state,
            loop,
            system_clock().wall_ms,
            RecordedAccounts(recorder.tell),
        ),
        WatchControl(
            is_watch_wanted,
            lambda: fleet_state.upstreams.revision,
            peers.n_store_watchers,
        ),
        telemetry,
    )
    dispatcher = Dispatcher(
        fleet_state.directory, fleet_state.loads, fleet_state.view, now_ms
    )
    exchange_context = ExchangeContext(
        dispatcher=dispatcher,
        pool=pool,
        codec=codec,
        budget=RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s * 1000.0
        ),
        n_instances=peers.n_instances,
        fleet_state=fleet_state,
        crash_watch=CrashWatch(
            pool, fleet_state.directory, fleet_state.crash_findings, now_ms, telemetry
        ),
        now_ms=now_ms,
        telemetry=telemetry,
        stopping=Stopping(),
        quotas=quotas,
    )
    state_sync = StateSync(
        _peer_address(settings), fleet_state, decode_configuration, telemetry, now_ms
    )
    gateway = Gateway(
        _gateway_settings(settings)._replace(metrics_address=metrics_address),
        fleet_state,
        exchange_context,
        pool,
        peers,
        state_sync,
        now_ms,
        telemetry,
        render_metrics,
        on_watch_changed=lambda is_wanted: _set(is_watch_wanted, is_wanted),
    )
    rollout = _start_rollout(
        settings, store, fleet_state, loop, telemetry, is_watch_wanted
    )
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: _read_settings_again(settings, peers, telemetry)
    )
    await gateway.run(stop, on_draining=lambda: rollout.tell("stop"))


def _open_quotas(
    settings: NodeSettings,
    fleet_state: FleetState,
    now_ms: Callable[[], float],
    telemetry: Telemetry,
) -> AccountQuotas | None:
    """Return the quotas of client accounts, None where the settings have no window."""
    bounds = settings.bounds
    if bounds.quota_window_s <= 0.0:
        return None
    window_ms = bounds.quota_window_s * 1000.0
    bound = QuotaBound(window_ms, bounds.quota_overage, bounds.quota_slack)
    peers = _peer_settings(settings)
    n_seeds = len({peers.address, *peers.seeds})
    quota = FleetQuota(bound, n_seeds, now_ms())
    return AccountQuotas(quota, fleet_state, now_ms, telemetry)


def _set(event: threading.Event, is_set: bool) -> None:
    if is_set:
        event.set()
    else:
        event.clear()


def _start_rollout(
    settings: NodeSettings,
    store: StorePort,
    fleet_state: FleetState,
    loop: asyncio.AbstractEventLoop,
    telemetry: Telemetry,
    is_candidate: threading.Event,
) -> pykka.ActorRef:
    now_ms, weights_loads = system_clock().now_ms, fleet_state.weights_loads
    lease_ms = max(settings.bounds.lease_ms, settings.platform.ttl_min_ms)
    lease = RolloutLease(
        store, settings.node_name, lease_ms, settings.bounds.lease_ms, now_ms
    )

    def post(handle: Callable[..., None]) -> Callable[..., None]:
        return lambda *args: loop.call_soon_threadsafe(handle, *args)

    async def read_on_loop() -> RolloutInputs:
        return collect_rollout_inputs(fleet_state, now_ms())

    def read_inputs() -> RolloutInputs:
        return asyncio.run_coroutine_threadsafe(read_on_loop(), loop).result()

    return RolloutActor.start(
        lease,
        open_engine_control(post(fleet_state.notices.on_notice)),
        read_inputs,
        RolloutCallbacks(post(weights_loads.on_loading), post(weights_loads.on_loaded)),
        settings.node_name,
        now_ms,
        telemetry,
        is_candidate,
        system_clock().wall_ms,
    )


def _gateway_settings(settings: NodeSettings) -> GatewaySettings:
    return GatewaySettings(
        instance_id=settings.node_name,
        failure_domain=settings.zone,
        front_address=settings.listen.front,
        ready_address=settings.listen.ready_addr,
        peer_address=_peer_address(settings),
        shutdown_limit_ms=settings.bounds.grace_s * 1000.0,
        client_limits=budget_limits(
            settings.limits.memory_mb * BYTES_PER_MB, settings.limits.max_fds
        ),
    )


def _read_settings_again(
    settings: NodeSettings, peers: PeerExchange, telemetry: Telemetry
) -> None:
    """Take over new seeds; addresses and limits hold until the next start."""
    loaded = load_node_settings(settings.path)
    outcome = "taken over" if loaded.is_ok() else loaded.error.reason
    if loaded.is_ok():
        peers.replace_seeds(_peer_settings(loaded.ok).seeds)
    telemetry.log(events.SETTINGS_READ, instance_id=settings.node_name, outcome=outcome)


def _peer_settings(settings: NodeSettings) -> PeerSettings:
    port = _peer_address(settings).rpartition(":")[2]
    seeds = tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds)
    return PeerSettings(
        instance_id=settings.node_name,
        failure_domain=settings.zone,
        address=_peer_address(settings),
        seeds=seeds,
        incarnation=system_clock().wall_ms(),
    )


def _peer_address(settings: NodeSettings) -> str:
    """Return where digests arrive; the port is the same on all machines."""
    return f"{settings.ip}:{settings.port_range[0]}"
