"""An engine: answers prompts with an event stream after the time that its sheet gives."""

import asyncio
import json
import time

PREFIX = "x-buckthornrock-"
PREFILL_TOKENS_PER_MS = 56.1
STEP_MS = 6.45
SLOTS = 128


class Engine:
    """One server of a model service; ``ran`` lists what it ran."""

    def __init__(self, engine_id: str, model: str, note) -> None:
        self.engine_id, self.model, self.note = engine_id, model, note
        self.born_ms = int(time.time() * 1000)
        self.n_running = 0
        self.n_run = 0
        self.address = ""

    async def start(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0, backlog=512, limit=131_072)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, service: str, zone: str) -> dict:
        return {
            "service": service,
            "addr": self.address,
            "zone": zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "unified",
            "models": [{"name": self.model, "version": 1, "adapters": []}],
            "sequence": 1,
            "born": self.born_ms,
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # The router closed or reset the connection.
        except asyncio.CancelledError:
            pass  # The run is over.
        finally:
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
        elif self.n_running >= SLOTS:
            await self._answer(writer, "503 Service Unavailable", fields, b"", not_run=True)
        else:
            await self._run(writer, fields)
        return True

    async def _run(self, writer, fields) -> None:
        self.n_running += 1
        self.n_run += 1
        request_id = fields.get(PREFIX + "request-id", "")
        self.note(f"engine {self.engine_id} runs {request_id}")
        try:
            tokens = fields.get(PREFIX + "token-count", "0,1").split(",")
            await asyncio.sleep(int(tokens[0]) / PREFILL_TOKENS_PER_MS / 1000.0)
            events = b""
            for n in range(1, int(tokens[1]) + 1):
                events += b"id: %d\ndata: token\n\n" % n
            await asyncio.sleep(int(tokens[1]) * STEP_MS / 1000.0)
            await self._answer(writer, "200 OK", fields, events, is_stream=True)
        finally:
            self.n_running -= 1

    async def _answer(self, writer, status, fields, body, not_run=False, is_stream=False):
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
