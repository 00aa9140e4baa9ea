"""Runs a gateway and scripted upstreams in one event loop, on loopback addresses."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from benchmarks.settings_files import free_ports
from buckthornrock.admission.fleet_quota import FleetQuota
from buckthornrock.admission.quota_limits import QuotaBound
from buckthornrock.catalog.configuration import (
    ClientAccount,
    ClientLimits,
    Configuration,
    EngineSpec,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.gateway.account_quotas import AccountQuotas
from buckthornrock.gateway.crash_watch import CrashWatch
from buckthornrock.gateway.dispatcher import Dispatcher
from buckthornrock.gateway.exchange_context import ExchangeContext
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.gateway import Gateway, GatewaySettings
from buckthornrock.gateway.peer_settings import PeerSettings
from buckthornrock.gateway.peers import PeerExchange
from buckthornrock.gateway.pool import ConnectionPool
from buckthornrock.gateway.state_sync import StateSync
from buckthornrock.gateway.stopping import Stopping
from buckthornrock.platform.configuration import decode_configuration
from buckthornrock.platform.headers import open_header_codec
from buckthornrock.scheduling.retry_budget import RetryBudget
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.telemetry import Telemetry, open_metrics

HOST = "shop.example"
KEY = "secret-key"
ID = b"X-Buckthornrock-Request-Id"
STAMP = b"X-Buckthornrock-Server-Stamp: s1\r\n"
TIMEOUT_S = 20.0

Script = Callable[["ReceivedRequest"], Awaitable[None]]


def route(kind: RouteKind, name: str, **changes) -> Route:
    base = Route(
        name=name,
        host=HOST,
        path_prefix=f"/{name}/",
        kind=kind,
        shares=(ServiceShare("engines" if kind is RouteKind.STREAM else "till", 1.0),),
        timeout_ms=5_000.0,
        objective_ms=1_000.0,
        rank=0,
        n_attempts=2,
        is_public=False,
        is_resumable=False,
        max_pause_ms=400.0,
    )
    return base._replace(**changes)


ROUTES = (
    route(RouteKind.IDEMPOTENT, "read"),
    # A non-idempotent request runs once, whatever number of attempts is allowed.
    route(RouteKind.NON_IDEMPOTENT, "book", n_attempts=3),
    route(RouteKind.STREAM, "long", n_attempts=3, timeout_ms=60_000.0),
    route(RouteKind.STREAM, "note", is_resumable=True, n_attempts=3),
    route(RouteKind.IDEMPOTENT, "open", is_public=True),
)


def configuration(version: int = 1, **changes) -> Configuration:
    base = Configuration(
        version=version,
        routes=ROUTES,
        services={
            "till": Service("till", 100, None),
            "engines": Service("engines", 100, EngineSpec(32, 100_000, 35_000, 5e5)),
        },
        prompt_stores=(),
        accounts={KEY: ClientAccount("shop", None)},
        requires_keys=True,
        limits=ClientLimits(),
    )
    return base._replace(**changes)


class ReceivedRequest(NamedTuple):
    """A request that a scripted upstream received."""

    head: bytes
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader

    @property
    def request_id(self) -> bytes:
        return self.header(ID)

    def header(self, name: bytes) -> bytes:
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b": ")
            if key.lower() == name.lower():
                return value
        return b""

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()


def response_bytes(request_id: bytes, body: bytes, status: bytes = b"200 OK") -> bytes:
    return (
        b"HTTP/1.1 %s\r\n%s: %s\r\n" % (status, ID, request_id)
        + STAMP
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


class ScriptedUpstream:
    """Serves the n-th request with the n-th script, later ones with the last script."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = scripts
        self.received: list[ReceivedRequest] = []
        self.n_closed_by_peer = 0
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                received_request = ReceivedRequest(head, b"", writer, reader)
                n_body_bytes = int(received_request.header(b"content-length") or 0)
                body = await reader.readexactly(n_body_bytes)
                received_request = received_request._replace(body=body)
                self.received.append(received_request)
                n_before = len(self.received) - 1
                script = self.scripts[min(n_before, len(self.scripts) - 1)]
                await script(received_request)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.n_closed_by_peer += 1
        finally:
            writer.close()


class GatewayHarness(NamedTuple):
    """A running gateway with its addresses, state and log lines."""

    gateway: Gateway
    fleet_state: FleetState
    client_address: str
    ready_address: str
    stop: asyncio.Event
    task: asyncio.Task
    logged: list[tuple[str, dict]]
    metrics_address: str
    quota: FleetQuota


def now_ms() -> float:
    return time.monotonic() * 1000.0


async def start_gateway(
    *upstreams: ScriptedUpstream,
    budget: float = 50.0,
    shutdown_limit_ms: float = 8_000.0,
    **changes,
) -> GatewayHarness:
    logged: list[tuple[str, dict]] = []

    def log(event, **fields):
        logged.append((event.name, fields))

    telemetry = Telemetry(log, open_metrics("", 0, ""))
    fleet_state = FleetState("a", WeightsView(20_000.0), now_ms, telemetry)
    fleet_state.on_configuration(configuration(**changes), b"", "test")
    for upstream in upstreams:
        await upstream.start()
    fleet_state.upstreams.replace(_entries(upstreams), 1)
    codec = open_header_codec()
    pool = ConnectionPool(codec, now_ms)
    dispatcher = Dispatcher(
        fleet_state.directory, fleet_state.loads, fleet_state.view, now_ms
    )
    client_address, ready_address, peer, metrics_address = (
        f"127.0.0.1:{port}" for port in free_ports(4)
    )
    quota = FleetQuota(QuotaBound(8_000.0, 0.1, 190_000.0), 1, now_ms())
    quotas = AccountQuotas(quota, fleet_state, now_ms, telemetry)
    peers = PeerExchange(
        PeerSettings("i1", "a", peer, (), 1),
        fleet_state,
        now_ms,
        quotas=quotas,
    )
    context = ExchangeContext(
        dispatcher=dispatcher,
        pool=pool,
        codec=codec,
        budget=RetryBudget(0.0, budget, 10_000.0),
        n_instances=lambda: 1,
        fleet_state=fleet_state,
        crash_watch=CrashWatch(
            pool, fleet_state.directory, fleet_state.crash_findings, now_ms, telemetry
        ),
        now_ms=now_ms,
        telemetry=telemetry,
        stopping=Stopping(),
        quotas=quotas,
    )
    state_sync = StateSync(peer, fleet_state, decode_configuration, telemetry, now_ms)
    settings = GatewaySettings(
        "i1",
        "a",
        client_address,
        ready_address,
        peer,
        shutdown_limit_ms,
        metrics_address,
    )
    gateway = Gateway(
        settings, fleet_state, context, pool, peers, state_sync, now_ms, telemetry
    )
    stop = asyncio.Event()
    task = asyncio.create_task(gateway.run(stop))
    listening = asyncio.create_task(_wait_until_listening(ready_address))
    await asyncio.wait({task, listening}, return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        # The gateway failed, for instance because a port is in use: raise its error
        # instead of hanging.
        listening.cancel()
        task.result()
    return GatewayHarness(
        gateway,
        fleet_state,
        client_address,
        ready_address,
        stop,
        task,
        logged,
        metrics_address,
        quota,
    )


def _entries(upstreams: Iterable[ScriptedUpstream]) -> list[Upstream]:
    """Return two entries for each upstream: of a plain service and of engines."""
    return [
        Upstream(
            upstream_id=f"{service}-{number}",
            service=service,
            address=upstream.address,
            failure_domain="a",
            is_draining=False,
            started_ms=1,
            n_slots=8,
            weights_versions={"m": 1},
        )
        for number, upstream in enumerate(upstreams)
        for service in ("till", "engines")
    ]


async def _wait_until_listening(address: str) -> None:
    while True:
        try:
            _, writer = await connect(address)
        except OSError:
            await asyncio.sleep(0.01)
            continue
        writer.close()
        return


async def connect(address: str):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def request(
    path: str, request_id: bytes = b"r1", method: bytes = b"GET", extra: bytes = b""
) -> bytes:
    prompt = b""
    if path.startswith(("/long", "/note")):
        prompt = (
            b"X-Buckthornrock-Model: m\r\n"
            b"X-Buckthornrock-Token-Count: 100,20\r\n"
            b"X-Buckthornrock-Prefix-Hash: aa:60,bb:40\r\n"
        )
    return (
        b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path.encode(), HOST.encode())
        + b"Authorization: Bearer %s\r\n%s: %s\r\n" % (KEY.encode(), ID, request_id)
        + prompt
        + extra
        + b"\r\n"
    )


class Reply(NamedTuple):
    """A response as a client got it; ``is_complete`` is False if it was cut off."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_complete: bool


async def ask(address: str, message: bytes) -> Reply:
    reader, writer = await connect(address)
    writer.write(message)
    try:
        return await read_reply(reader)
    finally:
        writer.close()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(b": ")
        headers[name.lower()] = value
    if b"content-length" in headers:
        body = await reader.readexactly(int(headers[b"content-length"]))
        return Reply(status, headers, body, True)
    body = b""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return Reply(status, headers, body, True)
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(status, headers, body, False)


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run the coroutine of a test; the timeout ends tests that hang."""

    async def limited() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await main()

    asyncio.run(limited())
