"""Streams over real sockets are relayed completely or fail with a typed failure."""

import socket
import threading
import time

import msgspec
import pytest

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.errors import CallerGone
from buckthornrock.httpd import start_server
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.engine_stream import EngineCall
from buckthornrock.upstreams.errors import StreamBroken
from buckthornrock.upstreams.relay import Relay, RelaySink

WAIT_S = 10.0
GOOD = {"id": "r", "stream": "s", "weights": "w", "cache_salt": "aa"}


def event(offset, **changes):
    choices = [{"index": 0, "text": f"t{offset} "}]
    chunk = GOOD | {"offset": offset, "choices": choices} | changes
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def last(offset, text=None):
    text = f"t{offset} " if text is None else text
    choices = [{"index": 0, "text": text, "finish_reason": "length"}]
    return event(offset, choices=choices)


DONE = b"data: [DONE]\n\n"


def pause():
    time.sleep(0.3)


@pytest.fixture
def relay():
    relay = Relay(
        lambda: time.monotonic() * 1000.0,
        stall_timeout_ms=500.0,
        caller_timeout_ms=5_000.0,
    )
    yield relay
    relay.stop()


@pytest.fixture(scope="module")
def engine_server():
    """Serve the parts that the test appends to the list."""
    parts = []

    def handle(exchange):
        exchange.read_body()
        exchange.start_stream(200, {})
        for part in parts:
            if callable(part):
                part()
            else:
                exchange.send_part(part)
        if parts[-1:] != [DONE]:
            exchange.abort()

    server = start_server("127.0.0.1", 0, handle, 4)
    yield parts, f"127.0.0.1:{server.port}"
    server.stop()


@pytest.fixture
def engine(engine_server):
    engine_server[0].clear()
    return engine_server


def open_stream(address):
    call = EngineCall("e", address, "r", {}, "aa", "w", 0, 0)
    stream = EngineClient(UpstreamsSettings(())).open_stream(call)
    return stream.ok


def run(relay, address, caller=None):
    texts = []

    def encode(chunks):
        texts.extend(chunk.choices[0].text for chunk in chunks)
        return b"".join(chunk.choices[0].text.encode() for chunk in chunks)

    result = relay.run(open_stream(address), RelaySink(encode, caller))
    return result, texts


CASES = [
    ("whole", [event(0), last(1), DONE], 2, ""),
    ("joined", [event(0) + last(1) + DONE], 2, ""),
    ("cut event", [last(0)[:20], last(0)[20:], DONE], 1, ""),
    ("gap", [event(0), event(2), DONE], 1, "gap or repeat in the offsets"),
    ("repeat", [event(0), event(0), DONE], 1, "gap or repeat in the offsets"),
    ("crossed", [event(0), event(1, id="x"), DONE], 1, "answer to another request"),
    ("other stream", [event(0), event(1, stream="x")], 1, "chunk of another stream"),
    ("other salt", [event(0, cache_salt="bb")], 0, "answer for another cache salt"),
    ("other weights", [event(0, weights="v")], 0, "answer of other weights"),
    ("not JSON", [event(0), b"data: {\n\n"], 1, "DecodeError"),
    ("early end", [event(0), DONE], 1, "end mark before the last token"),
    ("truncated", [event(0)], 1, "ended without its end mark"),
    ("stalled", [event(0), lambda: time.sleep(1.5)], 1, "stalled"),
    ("stalled, with bytes", [event(0), *[b"x", lambda: time.sleep(0.1)] * 20], 1,
     "stalled"),
    ("slow", [event(0), pause, event(1), pause, event(2), pause, last(3), DONE], 4, ""),
    ("error text", [b'{"error": "no such run"}'], 0, "ended without its end mark"),
    ("error event", [b'{"error": "no such run"}\n\n', DONE], 0, "ValidationError"),
    ("nothing", [DONE], 0, "end mark before the last token"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("parts", "n_tokens", "reason"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_stream_is_complete_or_broken(relay, engine, parts, n_tokens, reason):
    served, address = engine
    served.extend(parts)
    result, texts = run(relay, address)
    expected = [f"t{index} " for index in range(n_tokens)]
    if reason:
        # Tokens that arrived in the same read as the invalid one may be missing.
        assert texts == expected[: len(texts)]
        is_connection_lost = reason == "ended without its end mark"
        assert result.error == StreamBroken("e", reason, is_connection_lost)
        return
    assert texts == expected
    assert result.is_ok()


def test_disconnected_caller_ends_the_flow(relay, engine):
    served, address = engine
    stopped = threading.Event()
    served.extend([event(0), lambda: stopped.wait(WAIT_S)])
    near, far = socket.socketpair()
    threading.Timer(0.1, far.close).start()
    result, _ = run(relay, address, near)
    stopped.set()
    assert isinstance(result.error, CallerGone)


def test_slow_caller_gets_everything_and_delays_no_other(relay, engine):
    served, address = engine
    text = "x" * 1000
    choices = [{"index": 0, "text": text}]
    n_tokens = 2000
    served.extend([event(i, choices=choices) for i in range(n_tokens - 1)])
    served.extend([last(n_tokens - 1, text), DONE])
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    received = bytearray()

    def read_slowly():
        while len(received) < n_tokens * len(text):
            received.extend(far.recv(50_000))

    reader = threading.Thread(target=read_slowly)
    results = []
    slow = threading.Thread(target=lambda: results.append(run(relay, address, near)[0]))
    slow.start()
    quick, texts = run(relay, address)
    assert quick.is_ok()
    assert len(texts) == n_tokens
    reader.start()
    slow.join(WAIT_S)
    reader.join(WAIT_S)
    assert results[0].is_ok()
    assert bytes(received) == text.encode() * n_tokens


def test_failing_encoder_ends_only_its_own_flow(relay, engine):
    served, address = engine
    served.extend([last(0), DONE])

    def fail(chunks):
        raise ZeroDivisionError

    result = relay.run(open_stream(address), RelaySink(fail, None))
    assert result.error == StreamBroken("e", "ZeroDivisionError")
    assert run(relay, address)[0].is_ok()
