"""Wires and runs an instance on the users' platform."""

import asyncio
import os
import signal
from collections.abc import Callable
from typing import IO

from ..gateway.dispatcher import Dispatcher
from ..gateway.exchange import ExchangeParts
from ..gateway.gateway import Gateway, GatewaySettings
from ..gateway.knowledge import Knowledge
from ..gateway.pool import ConnectionPool
from ..platform.feeds import operator_listener, upstream_listener
from ..platform.headers import open_header_codec
from ..platform.settings import NodeSettings
from ..platform.store_client import open_store
from ..platform.upstream_entries import OPERATOR_PREFIX, UPSTREAMS_PREFIX
from ..runtime import system_clock
from ..scheduling.retry_budget import RetryBudget
from ..scheduling.weights import WeightsView
from ..store.follower import Listener, PrefixFollower
from ..store.kv_port import StorePort
from ..telemetry import Telemetry, open_log, open_metrics

#: Replaced weights are given up this long before the platform's bound.
WEIGHTS_MARGIN_MS = 1_500.0
#: Instances that share the fleet's budgets until membership is known.
N_ASSUMED_INSTANCES = 8


def run_gateway(settings: NodeSettings, log_stream: IO[str]) -> None:
    """Serve until SIGTERM; then finish every request and return."""
    telemetry = Telemetry(open_log(log_stream), open_metrics("", 0, ""))
    asyncio.run(_run(settings, telemetry))


async def _run(settings: NodeSettings, telemetry: Telemetry) -> None:
    now_ms = system_clock().now_ms
    bounds = settings.bounds
    loop = asyncio.get_running_loop()
    weights = WeightsView(bounds.version_ms - WEIGHTS_MARGIN_MS)
    knowledge = Knowledge(settings.zone, weights, now_ms, telemetry)
    store = open_store(settings.platform.addr, telemetry, now_ms)
    _follow(store, knowledge, loop, OPERATOR_PREFIX, operator_listener)
    _follow(store, knowledge, loop, UPSTREAMS_PREFIX, upstream_listener)
    codec = open_header_codec()
    pool = ConnectionPool(codec, now_ms)
    n_instances = _count_instances
    dispatcher = Dispatcher(
        knowledge.directory, knowledge.loads, knowledge.view, n_instances
    )
    parts = ExchangeParts(
        dispatcher=dispatcher,
        pool=pool,
        codec=codec,
        budget=RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s * 1000.0
        ),
        n_instances=n_instances,
        view=knowledge.view,
        telemetry=telemetry,
    )
    gateway = Gateway(
        _gateway_settings(settings), knowledge, parts, pool, now_ms, telemetry
    )
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await gateway.run(stop)
    # Followers wait in long polls; they hold nothing that must be given back.
    os._exit(0)


def _follow(
    store: StorePort,
    knowledge: Knowledge,
    loop: asyncio.AbstractEventLoop,
    prefix: str,
    listener: Callable[[Knowledge, asyncio.AbstractEventLoop, str], Listener],
) -> None:
    PrefixFollower.start(store, prefix, listener(knowledge, loop, prefix))


def _gateway_settings(settings: NodeSettings) -> GatewaySettings:
    return GatewaySettings(
        instance_id=settings.node_name,
        failure_domain=settings.zone,
        front_address=settings.listen.front,
        ready_address=settings.listen.ready_addr,
        shutdown_limit_ms=settings.bounds.grace_s * 1000.0,
    )


def _count_instances() -> int:
    return N_ASSUMED_INSTANCES
