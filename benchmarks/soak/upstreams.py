"""Stand-ins of plain services, engines and prompt stores, with faults of their own.

An engine keeps what it cached under (model, cache salt, leading parts), as the
platform's engines do, with the account and request that computed it. Engines exchange
cached parts with each other and with the prompt store inside the tool's process,
because the router takes no part in that.
"""

import asyncio
import random
import time
from typing import NamedTuple

import h11
import msgspec

from . import contents
from .engine_weights import EngineWeights
from .http_connection import HttpConnection, header
from .proxy import Proxy
from .record import Arrived, Began, Crashed, Left, PartUsed, Record
from .store import SoakStore

PREFIX = "x-buckthornrock-"
CRASHING_PART = "0badbad0"
#: Long enough that each fault of a connection meets requests that run.
WORK_S = 0.08
EVENT_PAUSE_S = 0.03
#: A late response comes within this time; routes' time limits lie inside it.
MAX_LATE_S = 6.0
LAPSES_AFTER_S = 3.6
CRASH_BEFORE_EVENT, CRASH_AFTER_EVENT = "before-event", "after-event"

Cache = dict[tuple, tuple[str, str]]


class Shared(NamedTuple):
    """What all stand-ins of a run share; ``caches`` maps addresses to cached parts."""

    store: SoakStore
    record: Record
    caches: dict[str, Cache]
    #: Whether engines refuse orders with an old fencing number.
    checks_fencing: bool = True


class Upstream:
    """One incarnation of a plain service's server, or of an engine if it has a model.

    Attributes
    ----------
    trouble : str
        "truncate", "garble", "late", "refuse" or "" for none.
    crash_mode : str
        When the engine crashes on a crashing part.
    on_crash : callable
        Called when the engine crashed.
    weights : EngineWeights or None
        The weights of an engine.
    """

    def __init__(
        self,
        shared: Shared,
        service: str,
        upstream_id: str,
        proxy: Proxy,
        model: str = "",
        version: int = 1,
    ) -> None:
        self.upstream_id, self.service, self.model = upstream_id, service, model
        self.proxy = proxy
        self.trouble = ""
        self.crash_mode = CRASH_BEFORE_EVENT
        self.on_crash = lambda: None
        self.is_gone = False
        self.says_leaving = False
        self._born_ms = int(time.time() * 1000)
        self._shared = shared
        self._rng = random.Random(upstream_id)
        self._writers: set = set()
        self._cache: Cache = {}
        self.weights = None
        if model:
            self.weights = EngineWeights(
                upstream_id,
                version,
                shared.checks_fencing,
                shared.record,
                self._on_loaded,
            )

    async def start(self, ip: str) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, ip, 0, backlog=256)
        self.proxy.target = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        await self.proxy.listen()
        self._shared.caches[self.proxy.address] = self._cache
        self._shared.store.write_json(f"servers/{self.upstream_id}", self._entry())

    def leave(self, is_draining: bool) -> None:
        """Go on serving, with an entry that says ``draining`` or without one."""
        self.says_leaving = True
        key = f"servers/{self.upstream_id}"
        if is_draining:
            self._shared.store.write_json(key, self._entry() | {"state": "draining"})
        else:
            self._shared.store.delete(key)
        self._shared.record.note(Left(time.monotonic(), self.upstream_id))

    def close(self) -> None:
        """End as a process does: the listener and all connections are closed."""
        self.is_gone = True
        if self.weights is not None:
            self.weights.end()
        if self.says_leaving:
            self._shared.store.delete(f"servers/{self.upstream_id}")
        self._server.close()
        self.proxy.refuse()
        for writer in list(self._writers):
            writer.transport.abort()

    async def crash(self) -> None:
        """End at once; the entry goes when the heartbeats have been missing."""
        if self.is_gone:
            return
        self.close()
        self.on_crash()
        await asyncio.sleep(LAPSES_AFTER_S)
        self._shared.store.delete(f"servers/{self.upstream_id}")

    def _on_loaded(self) -> None:
        """Drop what was computed with the replaced weights; register the new ones."""
        self._cache.clear()
        if not self.says_leaving:
            key = f"servers/{self.upstream_id}"
            self._shared.store.write_json(key, self._entry())

    def _models(self) -> list[dict]:
        if self.weights is None:
            return []
        version = self.weights.version
        return [{"name": self.model, "version": version, "adapters": []}]

    def _entry(self) -> dict:
        entry = {
            "service": self.service,
            "addr": self.proxy.address,
            "zone": "qld-a",
            "version": "v1",
            "slots": 32,
            "state": "ready",
            "sequence": 1,
            "born": self._born_ms,
        }
        if not self.model:
            return entry
        return entry | {"stage": "unified", "models": self._models()}

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        connection = HttpConnection(reader, writer, h11.SERVER)
        try:
            while isinstance(request := await connection.next_event(), h11.Request):
                body = await connection.read_body()
                await self._respond(connection, request, body)
                if not connection.may_continue():
                    break
        except (OSError, h11.RemoteProtocolError, h11.LocalProtocolError):
            pass  # The router, a proxy or a fault of this upstream ended it.
        except asyncio.CancelledError:
            pass  # The run is over; asyncio.streams would log the cancellation.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, connection, request, body: bytes) -> None:
        headers, target = request.headers, request.target.decode()
        expected = header(headers, PREFIX + "expect-instance")
        if expected not in ("", self.upstream_id):
            own_id = [(PREFIX + "instance-id", self.upstream_id)]
            await self._send(connection, 421, own_id, b"")
        elif target == "/report":
            await self._send(connection, 200, [], msgspec.json.encode(self._report()))
        elif target == "/order" and self.weights is not None:
            await self._take_order(connection, body)
        else:
            await self._run(connection, headers, target.split("/")[1], body)

    def _report(self) -> dict:
        report = {"stage": "unified", "models": self._models()}
        if self.weights is None:
            return report | {"busy": False, "sequence": 0}
        return report | self.weights.report()

    async def _take_order(self, connection, body: bytes) -> None:
        status = await self.weights.execute(body)
        if status is None:
            connection.abort()
            return
        await self._send(connection, status, [], b"")

    async def _run(self, connection, headers, route: str, body: bytes) -> None:
        request_id = header(headers, PREFIX + "request-id")
        trouble = self.trouble
        stamp = [
            (PREFIX + "request-id", request_id),
            (PREFIX + "server-stamp", f"{self.upstream_id}.stamp"),
        ]
        arrived = Arrived(
            time.monotonic(), request_id, self.upstream_id, trouble != "refuse", body
        )
        if arrived.has_run and self.weights is not None:
            await self.weights.wait_idle()
            has_left = self.is_gone or connection.is_closed_by_peer()
            expected = int(header(headers, PREFIX + "expect-version") or 0)
            is_expected = expected in (0, self.weights.version)
            if has_left or not is_expected:
                self._shared.record.note(arrived._replace(has_run=False))
                await self._refuse_version(connection, stamp)
                return
            self._shared.record.note(
                Began(
                    time.monotonic(),
                    request_id,
                    self.upstream_id,
                    self.weights.version,
                    expected,
                )
            )
        self._shared.record.note(arrived)
        if not arrived.has_run:
            refusal = [(PREFIX + "not-executed", "1"), ("Retry-After", "0.2")]
            await self._send(connection, 503, stamp + refusal, b"")
            return
        if CRASHING_PART in header(headers, PREFIX + "prefix-hash"):
            await self._crash_on(connection, stamp, request_id, body)
            return
        if self.model:
            self._use_cache(headers, request_id)
        if trouble == "late":
            await asyncio.sleep(self._rng.uniform(0.2, MAX_LATE_S))
        elif not self.model:
            await asyncio.sleep(WORK_S)
        if trouble == "garble":
            await self._garble(connection, stamp, route, request_id, body)
        elif self.model:
            await self._stream(connection, headers, stamp, request_id, body, trouble)
        else:
            answer = contents.plain_body(request_id, body)
            await self._send(connection, 200, stamp, answer, trouble == "truncate")

    async def _send(self, connection, status, headers, body, is_cut=False) -> None:
        headers = [*headers, ("Content-Length", str(len(body)))]
        if self.says_leaving:
            headers.append(("Server-Leaving", "1"))
        head = h11.Response(status_code=status, headers=headers)
        if is_cut:
            await connection.send(head, h11.Data(data=body[: len(body) // 2]))
            connection.writer.close()
            return
        await connection.send(head, h11.Data(data=body), h11.EndOfMessage())

    def _version_header(self) -> tuple[str, str]:
        return PREFIX + "weight-versions", str(self.weights.version)

    async def _refuse_version(self, connection, stamp) -> None:
        refusal = [(PREFIX + "not-executed", "1"), self._version_header()]
        await self._send(connection, 409, stamp + refusal, b"")

    def _stream_head(self, stamp) -> h11.Response:
        headers = [
            *stamp,
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            self._version_header(),
        ]
        if self.says_leaving:
            headers.append(("Server-Leaving", "1"))
        return h11.Response(status_code=200, headers=headers)

    async def _stream(self, connection, headers, stamp, request_id, body, trouble):
        events = contents.stream_events(request_id, body)
        events = events[int(header(headers, "last-event-id") or 0) :]
        await connection.send(self._stream_head(stamp))
        n_sent = self._rng.randrange(len(events) + 1) if trouble == "truncate" else None
        for event in events[:n_sent]:
            await asyncio.sleep(EVENT_PAUSE_S)
            await connection.send(h11.Data(data=event))
        if n_sent is None:
            await connection.send(h11.EndOfMessage())
            return
        # Half an event, then the end of the connection inside the chunked body.
        await connection.send(h11.Data(data=b"id: 9\ndata: "))
        connection.writer.close()

    async def _garble(self, connection, stamp, route, request_id, body) -> None:
        """Send a response that no router may take for the request's own."""
        other_id = request_id + "-other"
        other = contents.response_body(route, other_id, body)
        form = self._rng.randrange(4)
        if form == 0:  # The response to another request.
            crossed = [(PREFIX + "request-id", other_id), stamp[1]]
            await self._send(connection, 200, crossed, other)
        elif form == 1:  # Not from the upstream's own program.
            await self._send(connection, 200, stamp[:1], other)
        elif form == 2:
            connection.writer.write(b"HTTP/1.1 2OO fine\r\n\0\r\n\r\n" + other)
            connection.writer.close()
        else:
            head = "".join(f"{name}: {value}\r\n" for name, value in stamp)
            head = f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n"
            connection.writer.write(head.encode() + other)
            connection.writer.close()

    async def _crash_on(self, connection, stamp, request_id, body) -> None:
        self._shared.record.note(
            Crashed(time.monotonic(), self.upstream_id, request_id, CRASHING_PART)
        )
        if self.crash_mode == CRASH_AFTER_EVENT:
            event = contents.stream_events(request_id, body)[0]
            await connection.send(self._stream_head(stamp), h11.Data(data=event))
        await self.crash()

    def _use_cache(self, headers, request_id: str) -> None:
        account = header(headers, PREFIX + "tenant")
        salt = header(headers, PREFIX + "cache-salt")
        listed = header(headers, PREFIX + "prefix-hash").split(",")
        parts = [part.partition(":")[0] for part in listed]
        source = self._shared.caches.get(header(headers, PREFIX + "kv-source"), {})
        target = self._shared.caches.get(header(headers, PREFIX + "kv-target"), {})
        is_cached = True
        for n, part in enumerate(parts, 1):
            key = (self.model, salt, tuple(parts[:n]))
            made = (self._cache.get(key) or source.get(key)) if is_cached else None
            if made is None:
                is_cached = False
                made = (account, request_id)
            else:
                used = PartUsed(
                    time.monotonic(), request_id, account, part, made[1], made[0]
                )
                self._shared.record.note(used)
            self._cache[key] = made
            target[key] = made
