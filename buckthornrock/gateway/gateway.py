"""The gateway's listeners, readiness and graceful shutdown."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from expression import Result

from ..events import gateway as events
from ..events import lifecycle as lifecycle_events
from ..telemetry import Telemetry
from ..telemetry.metrics import GATEWAY_CONNECTIONS, GATEWAY_WAITING, MEMBERS_LIVE
from .admission import AdmissionInputs, admit
from .client_connection import ClientConnection, ClientConnectionContext
from .dispatcher import Dispatcher
from .exchange import Exchange, ExchangeContext
from .fleet_state import FleetState
from .peers import PeerExchange
from .pool import ConnectionPool
from .ports import HeaderCodec
from .requests import ClientRequest, Refusal
from .resources import ResourceInputs, ResourceMonitor
from .state_sync import StateSync

LISTEN_BACKLOG = 1_024
HOUSEKEEPING_PERIOD_MS = 500.0
#: How late an upstream may go whose time has come.
EXPIRY_PERIOD_MS = 100.0
#: New connections are taken for this long after the instance is not ready.
ROTATION_LAG_MS = 2_700.0
#: Left of the time for shutdown when requests that are still open are cut.
KILL_MARGIN_MS = 600.0
#: Pause between two looks at the requests that are still open.
DRAIN_POLL_MS = 50.0
#: Time for last bytes to leave before the process ends.
LINGER_MS = 100.0
#: Pause before a loop that failed is run again.
RESTART_PAUSE_MS = 200.0


class GatewaySettings(NamedTuple):
    """Addresses and bounds of the gateway."""

    instance_id: str
    failure_domain: str
    front_address: str
    ready_address: str
    peer_address: str
    shutdown_limit_ms: float
    metrics_address: str = ""


class Gateway:
    """Serves clients until it is told to stop."""

    def __init__(
        self,
        settings: GatewaySettings,
        fleet_state: FleetState,
        exchange_parts: ExchangeContext,
        pool: ConnectionPool,
        peers: PeerExchange,
        exchange: StateSync,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
        render_metrics: Callable[[], str] = lambda: "",
    ) -> None:
        self._render_metrics = render_metrics
        self._settings = settings
        self._fleet_state = fleet_state
        self._exchange_parts = exchange_parts
        self._dispatcher: Dispatcher = exchange_parts.dispatcher
        self._pool = pool
        self._peers = peers
        self._exchange = exchange
        peers.on_peer_versions = exchange.on_peer_versions
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._rng = random.Random()
        self._is_draining = False
        self._connections: set[ClientConnection] = set()
        self._resources = ResourceMonitor(self._resource_inputs(), telemetry)

    async def run(
        self, stop: asyncio.Event, on_draining: Callable[[], None] = lambda: None
    ) -> None:
        """Listen until ``stop`` is set, then finish what is open.

        ``on_draining`` is called as the shutdown begins.
        """
        codec = self._exchange_parts.codec
        front = await self._listen(self._settings.front_address, self._serve, codec)
        ready = await self._listen(
            self._settings.ready_address, self._serve_ready, codec, set()
        )
        if self._settings.metrics_address:
            await self._listen(
                self._settings.metrics_address, self._serve_metrics, codec, set()
            )
        self._telemetry.log(
            events.STARTED,
            instance_id=self._settings.instance_id,
            failure_domain=self._settings.failure_domain,
            address=self._settings.front_address,
        )
        host, _, port = self._settings.peer_address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._peers, local_addr=(host, int(port))
        )
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(self._supervise(loop))
                for loop in (
                    self._dispatcher.tick,
                    self._keep_house,
                    self._expire_upstreams,
                    self._peers.run,
                    self._resources.run,
                    self._exchange.run,
                )
            ]
            await stop.wait()
            on_draining()
            await self._drain(front)
            for task in background:
                task.cancel()
        ready.close()

    def _resource_inputs(self) -> ResourceInputs:
        return ResourceInputs(
            traffic=lambda: self._peers.traffic,
            n_instances=self._peers.n_instances,
            n_connections=lambda: len(self._connections),
            configuration_version=lambda: self._fleet_state.configuration_version,
            store_age_ms=self._fleet_state.store_age_ms,
            cpu_ms=lambda: time.process_time() * 1000.0,
            now_ms=self._now_ms,
        )

    async def _supervise(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a loop for ever; a failure in it is logged and does not end it."""
        while True:
            try:
                await run()
            except Exception as error:
                self._telemetry.log(
                    lifecycle_events.STEP_FAILED,
                    actor=run.__qualname__,
                    error_type=type(error).__name__,
                    reason=str(error),
                )
            await asyncio.sleep(RESTART_PAUSE_MS / 1000.0)

    async def _listen(
        self,
        address: str,
        serve: Callable,
        codec: HeaderCodec,
        connections: set[ClientConnection] | None = None,
    ) -> asyncio.Server:
        parts = ClientConnectionContext(
            serve=serve,
            limits=self._fleet_state.limits,
            is_draining=lambda: self._is_draining,
            codec=codec,
            now_ms=self._now_ms,
            connections=self._connections if connections is None else connections,
        )
        host, _, port = address.rpartition(":")
        return await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(parts),
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    async def _serve(self, request: ClientRequest, client: ClientConnection) -> None:
        try:
            admitted = self._admit(request)
            if admitted.is_error():
                client.refuse(admitted.error)
                return
            await Exchange(self._exchange_parts, admitted.ok, client).run()
        except Exception as error:
            self._on_broken(request, client, error)

    def _admit(self, request: ClientRequest) -> Result:
        inputs = AdmissionInputs(self._fleet_state.table, self._rng)
        admitted = admit(request, inputs)
        if admitted.is_ok():
            return admitted
        self._telemetry.log(
            events.TURNED_AWAY,
            request_id=request.fields.request_id,
            status=admitted.error.status,
            failure=admitted.error.code,
            reason=admitted.error.reason,
            configuration_version=self._fleet_state.configuration_version,
            store_age_ms=self._fleet_state.store_age_ms(),
        )
        return admitted

    def _on_broken(
        self, request: ClientRequest, client: ClientConnection, error: Exception
    ) -> None:
        self._telemetry.log(
            events.HANDLER_FAILED,
            request_id=request.fields.request_id,
            error_type=type(error).__name__,
            reason=str(error),
        )
        if client.has_started:
            client.break_off()
            return
        client.refuse(Refusal(502, "internal-error", "serving the request failed"))

    async def _serve_ready(
        self, request: ClientRequest, client: ClientConnection
    ) -> None:
        if self._fleet_state.is_complete and not self._is_draining:
            client.send_whole(200, [], b"ready")
            return
        client.refuse(Refusal(503, "not-ready", "draining or without configuration"))

    async def _serve_metrics(
        self, request: ClientRequest, client: ClientConnection
    ) -> None:
        metrics = self._telemetry.metrics
        metrics.gauge(GATEWAY_WAITING, self._dispatcher.n_waiting())
        metrics.gauge(GATEWAY_CONNECTIONS, len(self._connections))
        metrics.gauge(MEMBERS_LIVE, self._peers.n_instances())
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        client.send_whole(200, headers, self._render_metrics().encode())

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_MS / 1000.0)
            self._pool.retain(self._fleet_state.retain_live())

    async def _expire_upstreams(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_MS / 1000.0)
            self._fleet_state.expire()

    async def _drain(self, front: asyncio.Server) -> None:
        """Finish every request; new ones come until the balancer has noticed."""
        started_at_ms = self._now_ms()
        self._is_draining = True
        self._peers.is_stopping = True
        self._telemetry.log(
            events.STOPPING,
            instance_id=self._settings.instance_id,
            n_open_requests=self._n_busy(),
        )
        await asyncio.sleep(ROTATION_LAG_MS / 1000.0)
        # What is taken from here on could not be finished in time.
        front.close()
        cut_at_ms = started_at_ms + self._settings.shutdown_limit_ms - KILL_MARGIN_MS
        while self._now_ms() < cut_at_ms:
            self._close_idle()
            if not self._connections:
                break
            await asyncio.sleep(DRAIN_POLL_MS / 1000.0)
        self._telemetry.log(
            events.STOPPED,
            instance_id=self._settings.instance_id,
            n_cut_requests=self._n_busy(),
        )
        await asyncio.sleep(LINGER_MS / 1000.0)

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            connection.close_idle()

    def _n_busy(self) -> int:
        return sum(connection.is_busy for connection in self._connections)
