"""A shared part of prompts that crashes engines is refused after few crashes."""

import asyncio

import pytest

from buckthornrock.gateway.crash_watch import crash_part_number
from buckthornrock.scheduling.crash_suspects import Quarantine
from tests.gateway.harness import (
    ScriptedUpstream,
    ask,
    now_ms,
    request,
    run,
    start_gateway,
)
from tests.gateway.test_streams import EVENTS, N_EVENTS, stream

DEADLY = b"dead:10"
#: Time between two crashes.
CRASH_GAP_S = 0.45
N_UPSTREAMS = 6
N_REQUESTS = 5


class CrashingUpstream(ScriptedUpstream):
    """Crashes when it begins to answer a prompt with a deadly part."""

    def __init__(self, deadly: bytes = DEADLY, has_head: bool = False) -> None:
        super().__init__(self._answer)
        self.has_crashed = False
        self._deadly = deadly
        self._has_head = has_head
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _answer(self, received_request) -> None:
        if self._deadly not in received_request.head:
            await stream(N_EVENTS)(received_request)
            return
        if self._has_head:
            await stream(0, is_ended=False)(received_request)
        self.crash()

    def crash(self) -> None:
        """Close the listener and reset every connection."""
        self.has_crashed = True
        self._server.close()
        for received_request in self.received:
            received_request.writer.transport.abort()


def prompt(path: str, *parts: bytes, request_id: bytes = b"r1") -> bytes:
    listed = b",".join((*parts, b"bb:40"))
    return request(path, request_id).replace(b"aa:60,bb:40", listed)


async def ask_in_turn(harness, messages):
    replies = []
    for message in messages:
        replies.append(await ask(harness.client_address, message))
        await asyncio.sleep(CRASH_GAP_S)
    return replies


def events_named(harness, name):
    return [fields for event, fields in harness.logged if event == name]


@pytest.mark.parametrize("path", ["/long/1", "/note/1"])
@pytest.mark.parametrize("has_head", [False, True], ids=["no head", "head"])
@pytest.mark.parametrize(
    "parts", [[DEADLY], [b"aa:60", DEADLY]], ids=["first", "second"]
)
def test_part_that_crashes_engines_is_refused(path, has_head, parts):
    async def main():
        upstreams = [CrashingUpstream(has_head=has_head) for _ in range(N_UPSTREAMS)]
        harness = await start_gateway(*upstreams)
        sound = prompt("/long/1", b"aa:60", b"cc:10", request_id=b"s1")
        messages = [prompt(path, *parts), sound] * N_REQUESTS
        replies = await ask_in_turn(harness, messages)
        assert sum(upstream.has_crashed for upstream in upstreams) <= 3
        assert [reply.body for reply in replies[1::2]] == [EVENTS] * N_REQUESTS
        refused = replies[-2]
        assert refused.status == 503
        assert float(refused.headers[b"retry-after"]) >= 1.0
        [quarantined] = events_named(harness, "gateway.part_quarantined")
        not_served = events_named(harness, "gateway.not_served")
        assert not_served[-1]["failure"] == "quarantined-part"
        assert str(quarantined["part"]) in not_served[-1]["reason"]
        crashed = events_named(harness, "gateway.engine_crashed")
        assert all(not fields["has_event"] for fields in crashed)

    run(main)


def test_crashes_of_other_causes_quarantine_nothing():
    async def main():
        upstreams = [CrashingUpstream(deadly=b"none") for _ in range(N_UPSTREAMS)]
        harness = await start_gateway(*upstreams)
        for upstream in upstreams[1:]:
            reply = await ask(harness.client_address, prompt("/long/1", b"aa:60"))
            assert reply.body == EVENTS
            upstream.crash()
            await asyncio.sleep(CRASH_GAP_S)
        reply = await ask(harness.client_address, prompt("/long/1", b"aa:60"))
        assert reply.body == EVENTS
        assert not events_named(harness, "gateway.part_quarantined")

    run(main)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


async def keep_silent(received_request):
    # The gateway closes the connection.
    await received_request.reader.read()
    received_request.writer.close()


@pytest.mark.parametrize("path", ["/long/1", "/note/1"])
def test_request_in_flight_is_broken_off_when_its_part_is_quarantined(path):
    async def main():
        upstreams = [ScriptedUpstream(keep_silent) for _ in range(2)]
        harness = await start_gateway(*upstreams)
        asked = asyncio.create_task(ask(harness.client_address, prompt(path, DEADLY)))
        await wait_until(lambda: any(upstream.received for upstream in upstreams))
        part = crash_part_number("m", "dead")
        state = Quarantine(1, True, 0, now_ms())
        harness.fleet_state.crash_findings.on_peer_quarantine(part, state, "i2")
        reply = await asked
        assert reply.status == 502
        assert sum(len(upstream.received) for upstream in upstreams) == 1

    run(main)


async def reset(received_request):
    received_request.writer.transport.abort()


def test_broken_connection_to_a_live_engine_is_no_crash():
    async def main():
        harness = await start_gateway(ScriptedUpstream(reset))
        messages = [prompt("/long/1", b"aa:60")] * N_REQUESTS
        replies = await ask_in_turn(harness, messages)
        assert [reply.status for reply in replies] == [502] * N_REQUESTS
        assert not events_named(harness, "gateway.engine_crashed")
        assert not events_named(harness, "gateway.part_quarantined")

    run(main)


def test_end_of_a_draining_engine_is_no_crash():
    async def main():
        upstream = CrashingUpstream()
        harness = await start_gateway(upstream)
        asked = asyncio.create_task(
            ask(harness.client_address, prompt("/long/1", DEADLY))
        )
        directory = harness.fleet_state.directory
        directory._upstreams = {
            key: entry._replace(is_draining=True)
            for key, entry in directory._upstreams.items()
        }
        await asked
        assert not events_named(harness, "gateway.engine_crashed")

    run(main)
