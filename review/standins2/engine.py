"""An engine: answers prompts with an event stream after the time that its sheet gives."""

import asyncio
import json
import time

PREFIX = "x-buckthornrock-"
PREFILL_TOKENS_PER_MS = 56.1
STEP_MS = 6.45


class Engine:
    """One server of a model service; ``ran`` lists what it ran."""

    def __init__(
        self,
        engine_id: str,
        model: str,
        n_slots: int,
        note,
        crash_part: str = "",
        hangs_s: float = 0.0,
    ) -> None:
        self.engine_id, self.model, self.n_slots, self.note = engine_id, model, n_slots, note
        self.born_ms = int(time.time() * 1000)
        self.n_running = 0
        self.ran: set[str] = set()
        #: Shared parts that were read, as (salt, id).
        self._cached: set[tuple[str, str]] = set()
        self.address = ""
        self.crash_part = crash_part
        #: For how long a crashing process keeps its sockets and answers nothing before it ends.
        self.hangs_s = hangs_s
        self._is_hung = False
        #: Called when the engine crashed.
        self.on_crash = lambda: None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0, backlog=512, limit=131_072)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    async def crash(self) -> None:
        """End as a process does: listener and connections are closed, at once or after a while."""
        if self._is_hung:
            return
        self._is_hung = True
        self.note(f"engine {self.engine_id} begins to crash")
        self.on_crash()
        await asyncio.sleep(self.hangs_s)
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self.note(f"engine {self.engine_id} has ended")

    def entry(self, service: str, zone: str) -> dict:
        return {
            "service": service,
            "addr": self.address,
            "zone": zone,
            "version": "v1",
            "slots": self.n_slots,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "unified",
            "models": [{"name": self.model, "version": 1, "adapters": []}],
            "sequence": 1,
            "born": self.born_ms,
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # The router closed or reset the connection.
        except asyncio.CancelledError:
            pass  # The run is over.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        await reader.readexactly(int(fields.get("content-length", 0)))
        if fields.get(PREFIX + "expect-instance") not in (None, self.engine_id):
            await self._answer(writer, "421 Misdirected Request", fields, b"")
        elif first.startswith("GET /report"):
            models = [{"name": self.model, "version": 1, "adapters": []}]
            report = {"stage": "unified", "models": models, "busy": False, "sequence": 0}
            await self._answer(writer, "200 OK", fields, json.dumps(report).encode())
        elif self.n_running >= self.n_slots:
            await self._answer(writer, "503 Service Unavailable", fields, b"", not_run=True)
        else:
            await self._run(writer, fields)
        return True

    async def _run(self, writer, fields) -> None:
        # A silent process runs nothing that comes now; its connections are closed at its end.
        await self._wait_hung()
        self.n_running += 1
        request_id = fields.get(PREFIX + "request-id", "")
        self.ran.add(request_id)
        self.note(f"engine {self.engine_id} runs {request_id}")
        try:
            n_prompt, n_out = map(int, fields.get(PREFIX + "token-count", "0,1").split(","))
            parts = self._shared_parts(fields)
            n_read = n_prompt - self._n_cached(parts)
            await asyncio.sleep(n_read / PREFILL_TOKENS_PER_MS / 1000.0)
            self._cached.update(part for part, _ in parts)
            if self.crash_part and self.crash_part in fields.get(PREFIX + "prefix-hash", ""):
                crashing = asyncio.ensure_future(self.crash())
                await crashing
            events = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, n_out + 1))
            await asyncio.sleep(n_out * STEP_MS / 1000.0)
            await self._answer(writer, "200 OK", fields, events, is_stream=True)
        finally:
            self.n_running -= 1

    def _shared_parts(self, fields) -> list[tuple[tuple[str, str], int]]:
        """Return the key of each part but the last, with its tokens."""
        salt = fields.get(PREFIX + "cache-salt", "")
        listed = [part.split(":") for part in fields.get(PREFIX + "prefix-hash", "").split(",")]
        return [((salt, part[0]), int(part[1])) for part in listed[:-1] if len(part) == 2]

    def _n_cached(self, parts) -> int:
        """Return how many tokens of the leading parts are cached."""
        n_cached = 0
        for key, n_tokens in parts:
            if key not in self._cached:
                break
            n_cached += n_tokens
        return n_cached

    async def _wait_hung(self) -> None:
        """Wait until the process has ended, if it hangs."""
        while self._is_hung:
            await asyncio.sleep(0.1)

    async def _answer(self, writer, status, fields, body, not_run=False, is_stream=False):
        await self._wait_hung()
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        lines.append(f"X-Buckthornrock-Request-Id: {fields.get(PREFIX + 'request-id', '')}")
        lines.append(f"X-Buckthornrock-Instance-Id: {self.engine_id}")
        if not_run:
            lines.append("X-Buckthornrock-Not-Executed: 1")
        elif status.startswith("200"):
            lines.append(f"X-Buckthornrock-Server-Stamp: {self.engine_id}.1")
        if is_stream:
            lines.append("Content-Type: text/event-stream")
            lines.append("X-Buckthornrock-Weight-Versions: 1")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
