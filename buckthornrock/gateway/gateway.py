"""The gateway's listeners, background tasks, readiness and graceful shutdown."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..events import gateway as events
from ..events import lifecycle as lifecycle_events
from ..telemetry import Telemetry
from ..telemetry.metrics import (
    GATEWAY_CONNECTIONS,
    GATEWAY_WAITING,
    ISOLATED_ACCOUNTS,
    MEMBERS_LIVE,
)
from .admission import AdmissionInputs, admit, refuse_at_head
from .client_connection import ClientConnection, ClientConnectionContext
from .client_limits import ClientLimitsEnforcer
from .dispatcher import Dispatcher
from .exchange import serve_admitted
from .exchange_context import ExchangeContext
from .explanation import ExplanationInputs, explain_encoded, is_where_request
from .fleet_state import FleetState
from .memory_budget import BudgetLimits, MemoryBudget
from .parse_queue import ParseQueue
from .peers import PeerExchange
from .pool import ConnectionPool
from .ports import HeaderCodec
from .request_receiver import RECEIVE_BYTES
from .requests import AdmittedRequest, ClientRequest, Refusal
from .resources import ResourceInputs, ResourceMonitor
from .sockets import listening_socket
from .state_sync import StateSync
from .stopping import NOT_SENT
from .store_watch import StoreWatch

LISTEN_BACKLOG = 1_024
#: Connections accepted in one iteration of the event loop. More of them could exceed
#: the limit of descriptors before any is refused.
MAX_ACCEPTS_PER_ITERATION = 16
HOUSEKEEPING_PERIOD_MS = 500.0
#: An expired upstream is removed, and a new watcher of the store begins, at most this
#: late.
STORE_CHECK_PERIOD_MS = 100.0
#: How long new connections are accepted after the instance reports not ready, so that
#: load balancers have noticed it and send no more of them.
ACCEPT_AFTER_NOT_READY_MS = 2_700.0
#: Connections that are still open are closed this long before the shutdown limit, once
#: the open requests have their last response.
CLOSE_MARGIN_MS = 400.0
#: Poll period for open connections while draining.
DRAIN_POLL_MS = 50.0
#: Time to flush the last sent bytes before the process ends.
FLUSH_MS = 100.0
#: Delay before a background task that failed is restarted.
RESTART_DELAY_MS = 200.0


class GatewaySettings(NamedTuple):
    """Identity, addresses and limits of a gateway; no metrics address serves none."""

    instance_id: str
    failure_domain: str
    front_address: str
    ready_address: str
    peer_address: str
    shutdown_limit_ms: float
    metrics_address: str = ""
    client_limits: BudgetLimits = BudgetLimits()


class Gateway:
    """Runs the listeners and background tasks of an instance until it is stopped."""

    def __init__(
        self,
        settings: GatewaySettings,
        fleet_state: FleetState,
        exchange_context: ExchangeContext,
        pool: ConnectionPool,
        peers: PeerExchange,
        state_sync: StateSync,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
        render_metrics: Callable[[], str] = lambda: "",
        on_watch_changed: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self._render_metrics = render_metrics
        self._on_watch_changed = on_watch_changed
        self._settings = settings
        self._fleet_state = fleet_state
        self._exchange_context = exchange_context
        self._dispatcher: Dispatcher = exchange_context.dispatcher
        self._pool = pool
        self._peers = peers
        self._state_sync = state_sync
        peers.on_peer_versions = state_sync.on_peer_versions
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._rng = random.Random()
        self._store_watch = StoreWatch(self._rng)
        self._is_draining = False
        self._connections: set[ClientConnection] = set()
        self._limits_enforcer = ClientLimitsEnforcer(
            MemoryBudget(settings.client_limits), now_ms, telemetry
        )
        self._receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
        self._resources = ResourceMonitor(self._resource_inputs(), telemetry)

    async def run(
        self, stop: asyncio.Event, on_draining: Callable[[], None] = lambda: None
    ) -> None:
        """Serve until ``stop`` is set, then finish the open requests.

        ``on_draining`` is called when the shutdown begins.
        """
        codec = self._exchange_context.codec
        self._parse_queue = ParseQueue(asyncio.get_running_loop().call_soon)
        client_listener = await self._listen(
            self._settings.front_address,
            self._serve,
            codec,
            refuse_at_head=self._refuse_at_head,
        )
        ready_listener = await self._listen(
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
                tasks.create_task(self._supervise(actor, loop))
                # Operators' tools match these logged names, so they stay as they are
                # when a class or function is renamed.
                for actor, loop in (
                    ("Dispatcher.tick", self._dispatcher.tick),
                    ("Gateway._keep_house", self._keep_house),
                    ("Gateway._expire_upstreams", self._follow_store),
                    ("PeerExchange.run", self._peers.run),
                    ("ResourceWatch.run", self._resources.run),
                    ("KnowledgeExchange.run", self._state_sync.run),
                )
            ]
            await stop.wait()
            on_draining()
            await self._drain(client_listener)
            for task in background:
                task.cancel()
        ready_listener.close()

    def _resource_inputs(self) -> ResourceInputs:
        return ResourceInputs(
            traffic=lambda: self._peers.traffic,
            n_instances=self._peers.n_instances,
            n_connections=lambda: len(self._connections),
            configuration_version=lambda: self._fleet_state.configuration.version,
            store_age_ms=self._fleet_state.store_age_ms,
            cpu_ms=lambda: time.process_time() * 1000.0,
            now_ms=self._now_ms,
        )

    async def _supervise(self, actor: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a background task for ever; log its failures as ``actor``, restart it."""
        while True:
            try:
                await run()
            except Exception as error:
                self._telemetry.log(
                    lifecycle_events.STEP_FAILED,
                    actor=actor,
                    error_type=type(error).__name__,
                    reason=str(error),
                )
            await asyncio.sleep(RESTART_DELAY_MS / 1000.0)

    async def _listen(
        self,
        address: str,
        serve: Callable,
        codec: HeaderCodec,
        connections: set[ClientConnection] | None = None,
        refuse_at_head: Callable[[ClientRequest], Refusal | None] | None = None,
    ) -> asyncio.Server:
        context = ClientConnectionContext(
            serve=serve,
            limits=self._fleet_state.configuration.limits,
            is_draining=lambda: self._is_draining,
            codec=codec,
            now_ms=self._now_ms,
            connections=self._connections if connections is None else connections,
            limits_enforcer=self._limits_enforcer,
            parse_queue=self._parse_queue,
            receive_buffer=self._receive_buffer,
            refuse_at_head=refuse_at_head,
        )
        listener = listening_socket(address)
        server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(context),
            sock=listener,
            backlog=MAX_ACCEPTS_PER_ITERATION,
        )
        # asyncio takes the length of the queue for the number of accepts as well.
        listener.listen(LISTEN_BACKLOG)
        return server

    async def _serve(self, request: ClientRequest, client: ClientConnection) -> None:
        try:
            admitted = self._admit(request).bind(self._charge)
            if admitted.is_error():
                self._log_turned_away(request, admitted.error)
                client.refuse(admitted.error)
                return
            await serve_admitted(self._exchange_context, admitted.ok, client)
        except Exception as error:
            self._on_internal_error(request, client, error)

    def _admit(self, request: ClientRequest) -> Result[AdmittedRequest, Refusal]:
        if request.refusal is not None:
            return Error(request.refusal)
        table = self._fleet_state.configuration.table
        return admit(request, AdmissionInputs(table, self._rng))

    def _log_turned_away(self, request: ClientRequest, refusal: Refusal) -> None:
        self._telemetry.log(
            events.TURNED_AWAY,
            request_id=request.fields.request_id,
            status=refusal.status,
            failure=refusal.code,
            reason=refusal.reason,
            configuration_version=self._fleet_state.configuration.version,
            store_age_ms=self._fleet_state.store_age_ms(),
        )

    def _charge(self, admitted: AdmittedRequest) -> Result[AdmittedRequest, Refusal]:
        """Charge the client account, before the request takes a place anywhere."""
        quotas = self._exchange_context.quotas
        return Ok(admitted) if quotas is None else quotas.charge(admitted)

    def _refuse_at_head(self, request: ClientRequest) -> Refusal | None:
        return refuse_at_head(request, self._fleet_state.configuration.table)

    def _on_internal_error(
        self, request: ClientRequest, client: ClientConnection, error: Exception
    ) -> None:
        self._telemetry.log(
            events.HANDLER_FAILED,
            request_id=request.fields.request_id,
            error_type=type(error).__name__,
            reason=str(error),
        )
        if client.has_sent_head:
            client.abort()
            return
        client.refuse(Refusal(502, "internal-error", "serving the request failed"))

    async def _serve_ready(
        self, request: ClientRequest, client: ClientConnection
    ) -> None:
        if self._fleet_state.is_complete and not self._is_draining:
            client.send_response(200, [], b"ready")
            return
        client.refuse(Refusal(503, "not-ready", "draining or without configuration"))

    async def _serve_metrics(
        self, request: ClientRequest, client: ClientConnection
    ) -> None:
        if is_where_request(request):
            self._serve_explanation(request, client)
            return
        metrics = self._telemetry.metrics
        metrics.gauge(GATEWAY_WAITING, self._dispatcher.n_waiting())
        metrics.gauge(GATEWAY_CONNECTIONS, len(self._connections))
        self._limits_enforcer.record_metrics()
        metrics.gauge(MEMBERS_LIVE, self._peers.n_instances())
        n_isolated = len(self._fleet_state.configuration.isolated_or_removed_accounts)
        metrics.gauge(ISOLATED_ACCOUNTS, n_isolated)
        if self._exchange_context.quotas is not None:
            self._exchange_context.quotas.update_gauges()
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        client.send_response(200, headers, self._render_metrics().encode())

    def _serve_explanation(
        self, request: ClientRequest, client: ClientConnection
    ) -> None:
        inputs = ExplanationInputs(
            self._settings.instance_id,
            self._fleet_state,
            self._dispatcher,
            self._exchange_context.stopping,
            self._peers.n_instances,
            self._now_ms,
            self._exchange_context.quotas,
        )
        try:
            explained = explain_encoded(request, inputs)
        except Exception as error:
            self._on_internal_error(request, client, error)
            return
        if explained.is_error():
            client.refuse(explained.error)
            return
        headers = [(b"content-type", b"application/json")]
        client.send_response(200, headers, explained.ok)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_MS / 1000.0)
            self._pool.retain(self._fleet_state.retain_live())
            self._limits_enforcer.report()

    async def _follow_store(self) -> None:
        """Decide who watches the store, and drop upstreams that are gone."""
        while True:
            await asyncio.sleep(STORE_CHECK_PERIOD_MS / 1000.0)
            self._fleet_state.upstreams.expire()
            self._update_store_watch()

    def _update_store_watch(self) -> None:
        inputs = self._peers.watch_inputs()
        is_watching = self._store_watch.should_watch(inputs, self._now_ms())
        if is_watching != self._fleet_state.is_watching_store:
            self._fleet_state.is_watching_store = is_watching
            self._on_watch_changed(is_watching)

    async def _drain(self, client_listener: asyncio.Server) -> None:
        """Finish open requests; accept new ones until load balancers have noticed."""
        started_at_ms = self._now_ms()
        stopping = self._exchange_context.stopping
        stopping.begin(started_at_ms, self._settings.shutdown_limit_ms)
        self._dispatcher.end_by(stopping.cut_at_ms)
        self._is_draining = True
        self._peers.announce_stop()
        self._telemetry.log(
            events.STOPPING,
            instance_id=self._settings.instance_id,
            n_open_requests=self._n_busy(),
        )
        await asyncio.sleep(ACCEPT_AFTER_NOT_READY_MS / 1000.0)
        # Connections accepted after this point could not be finished in time.
        client_listener.close()
        close_at_ms = started_at_ms + self._settings.shutdown_limit_ms - CLOSE_MARGIN_MS
        while self._now_ms() < close_at_ms:
            self._close_idle_connections()
            if not self._connections:
                break
            if self._now_ms() >= stopping.refuses_from_ms:
                self._dispatcher.refuse_ending_at(stopping.cut_at_ms, NOT_SENT)
            await asyncio.sleep(DRAIN_POLL_MS / 1000.0)
        for connection in list(self._connections):
            connection.refuse_incomplete()
        self._telemetry.log(
            events.STOPPED,
            instance_id=self._settings.instance_id,
            n_cut_requests=self._n_busy(),
        )
        await asyncio.sleep(FLUSH_MS / 1000.0)

    def _close_idle_connections(self) -> None:
        for connection in list(self._connections):
            connection.close_idle()

    def _n_busy(self) -> int:
        return sum(connection.is_busy for connection in self._connections)
