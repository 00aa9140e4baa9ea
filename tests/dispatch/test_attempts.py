"""Attempts for callers that disconnect: not sent, or cancelled at the engine."""

import threading
from types import SimpleNamespace

import pytest

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.dispatch import attempts
from buckthornrock.dispatch.progress import Progress
from buckthornrock.dispatch.requests import CompletionSink
from buckthornrock.errors import CallerGone
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.engine_stream import EngineCall
from tests.upstreams.raw_server import RawServer

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = (
    b'data: {"id":"r","stream":"s1","offset":0,"weights":"w","cache_salt":"aa",'
    b'"choices":[{"index":0,"text":"x"}]}\n\n'
)
CHOICE = SimpleNamespace(upstream_id="e", address="127.0.0.1:1")


def ignore(*_):
    return None


def test_request_of_disconnected_caller_is_not_sent_after_the_prefix_wait():
    sent = []
    context = SimpleNamespace(
        preparation=SimpleNamespace(wait_for_prefix=ignore, import_prefix=ignore),
        routing=SimpleNamespace(on_sent=ignore, on_ended=ignore),
        fleet=SimpleNamespace(begin=ignore, end=ignore),
        engines=SimpleNamespace(open_stream=sent.append),
        now_ms=lambda: 0.0,
    )
    request = SimpleNamespace(
        request_id="r", body={}, work_class={"rank": 0}, deadline_at_ms=1.0
    )
    sink = CompletionSink(lambda chunks, ids: b"", None, lambda: True)
    choice = SimpleNamespace(
        upstream_id="e", address="", cache_salt="", weights_version=""
    )
    plan = attempts.Plan(None, choice, None)
    progress = Progress("r", 0.0, None)
    result = attempts.run_attempt(context, request, plan, sink, progress)
    assert (result.error, sent) == (CallerGone(0), [])


@pytest.fixture
def late_engine():
    """Send the response head at once, and the first token when the event is set."""
    may_send = threading.Event()

    def script(server, connection):
        server.read_request(connection)
        connection.sendall(HEAD)
        may_send.wait(10.0)
        connection.sendall(b"%x\r\n%b\r\n" % (len(EVENT), EVENT))
        connection.recv(1)

    server = RawServer(script)
    yield server, may_send
    may_send.set()
    server.stop()


def test_stream_is_cancelled_if_its_first_token_arrives_after_the_head(late_engine):
    server, may_send = late_engine
    cancelled = []
    control = SimpleNamespace(cancel=lambda *names: cancelled.append(names))
    call = EngineCall("e", server.address, "r", {}, "aa", "w", 0, 0)
    stream = EngineClient(UpstreamsSettings(())).open_stream(call).ok
    threading.Timer(0.1, may_send.set).start()
    attempts._cancel(SimpleNamespace(control=control), CHOICE, stream)
    stream.finish()
    assert cancelled == [("127.0.0.1:1", "s1")]
