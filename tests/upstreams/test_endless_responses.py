"""Blocking calls end within their limits although the server never stops sending."""

import time

import pytest

from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.platform.engine_control import open_engine_control
from buckthornrock.platform.store_client import open_store
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.engine_control_client import EngineControlClient
from buckthornrock.upstreams.engine_stream import EngineCall
from buckthornrock.upstreams.order_client import OrderClient
from buckthornrock.upstreams.service_client import ServiceCall, ServiceClient
from tests.upstreams.raw_server import RawServer

MAX_SENT_BYTES = 24_000_000
MAX_DURATION_MS = 3_000.0
#: Time after which the server stops sending, should the call not end.
SENDING_LIMIT_S = 12.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
KB = b"x" * 1_000
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SHAPES = {
    "heads of answers to come": (b"", CONTINUE * 20, 0.0),
    "heads of answers to come, slowly": (b"", CONTINUE, 0.02),
    "a header, slowly": (OK + b"X: ", b"x", 0.02),
    "a body": (OK + b"\r\n", KB, 0.0),
    "a body, slowly": (OK + b"\r\n", b" ", 0.02),
    "chunks": (CHUNKED, b"3e8\r\n" + KB + b"\r\n", 0.0),
    "chunks, slowly": (CHUNKED, b"1\r\n \r\n", 0.02),
}


def now_ms():
    return time.monotonic() * 1000.0


def endless(start, part, pause_s):
    def script(server, connection):
        server.n_bytes = 0
        server.read_request(connection)
        connection.sendall(start)
        end_at_s = time.monotonic() + SENDING_LIMIT_S
        while time.monotonic() < end_at_s and server.n_bytes < MAX_SENT_BYTES:
            connection.sendall(part)
            server.n_bytes += len(part)
            time.sleep(pause_s)

    return script


def report_of_engine(address):
    upstream = Upstream("e", "engines", address, "a", False, 1, 8, {"m": 1})
    return open_engine_control().report(upstream)


def snapshot_of_store(address):
    telemetry = Telemetry(open_log(None), open_metrics("", 0, ""))
    return open_store(address, telemetry, now_ms, response_limit_ms=1_500.0).snapshot(
        "p"
    )


def load_of_engine(address):
    return EngineControlClient().load(address)


def state_of_orders(address):
    return OrderClient(600).read("e", address)


def response_of_service(address):
    deadline_at_ms = now_ms() + 2_000.0
    call = ServiceCall("u", address, "r", "GET", "/x", {}, b"", deadline_at_ms, False)
    settings = UpstreamsSettings((), max_answer_bytes=4_000_000)
    return ServiceClient(settings, now_ms).call(call).map(_read_rest)


def _read_rest(response):
    return b"".join(response.rest) if response.rest else response.body


def head_of_stream(address):
    settings = UpstreamsSettings((), first_token_timeout_ms=1_500)
    call = EngineCall("e", address, "r", {}, "aa", "w", 0, 0)
    return EngineClient(settings).open_stream(call)


CALLS = [
    report_of_engine,
    snapshot_of_store,
    load_of_engine,
    state_of_orders,
    response_of_service,
]
HEADS = {name: shape for name, shape in SHAPES.items() if "head" in name}


@pytest.mark.parametrize(
    ("call", "shape"),
    [
        *((call, shape) for call in CALLS for shape in SHAPES.values()),
        *((head_of_stream, shape) for shape in HEADS.values()),
    ],
    ids=[
        *(f"{call.__name__}, {name}" for call in CALLS for name in SHAPES),
        *(f"head_of_stream, {name}" for name in HEADS),
    ],
)
def test_call_ends_although_its_response_does_not(call, shape):
    server = RawServer(endless(*shape))
    started_at_ms = now_ms()
    try:
        failed = call(server.address).is_error()
    except OSError:
        failed = True
    assert failed
    assert now_ms() - started_at_ms < MAX_DURATION_MS
    assert server.n_bytes < MAX_SENT_BYTES
    server.stop()
