"""Servers of our own door that write earlier responses again on a kept connection."""

import time

import pytest

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.entry.problems import problem_document
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.engine_stream import EngineCall
from buckthornrock.upstreams.relay import Relay, RelaySink
from buckthornrock.upstreams.service_client import ServiceClient
from tests.upstreams.raw_server import RawServer, make_response
from tests.upstreams.test_relay import DONE, event, last
from tests.upstreams.test_service_client import make_call, now_ms

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REFUSAL = make_response(b"full", status=b"503 Full")


def stream_of(request_id):
    body = event(0, id=request_id) + last(1).replace(
        b'"r"', b'"%s"' % request_id.encode()
    )
    return HEAD + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body + DONE), body + DONE)


def request_id_of(head):
    lines = head.decode().split("\r\n")
    ids = [line for line in lines if line.lower().startswith("x-request-id:")]
    return ids[0].partition(":")[2].strip()


@pytest.fixture
def relay():
    relay = Relay(now_ms, 5_000.0, 5_000.0)
    yield relay
    relay.stop()


def complete(relay, client, address, request_id):
    """Return the tokens of a completion, or its failure."""
    texts = []

    def encode(chunks):
        texts.extend(chunk.choices[0].text for chunk in chunks)
        return b""

    call = EngineCall("e", address, request_id, {}, "aa", "w", 0, 0)
    stream = client.open_stream(call)
    if stream.is_error():
        return stream.error
    result = relay.run(stream.ok, RelaySink(encode, None))
    stream.ok.finish()
    return texts if result.is_ok() else result.error


def late_copy(first):
    """Return a script that repeats its first response before that of the second."""

    def script(server, connection):
        n_read = 0
        while head := server.read_request(connection):
            n_read += 1
            request_id = request_id_of(head)
            own = stream_of(request_id)
            if server.n_connections == 1 and n_read == 1:
                first_response = first or own
                connection.sendall(first_response)
                continue
            if server.n_connections == 1 and n_read == 2:
                connection.sendall(first_response)
                time.sleep(0.05)
            connection.sendall(own)

    return script


@pytest.mark.parametrize("first", [REFUSAL, b""], ids=["refusal", "stream"])
def test_late_copy_of_a_response_is_no_answer_to_another_completion(relay, first):
    server = RawServer(late_copy(first))
    client = EngineClient(UpstreamsSettings(()))
    complete(relay, client, server.address, "r1")
    second = complete(relay, client, server.address, "r2")
    # The second one runs, so nothing may claim that it did not.
    assert problem_document(second, "r2")["not_run"] == "unknown"
    time.sleep(0.1)
    assert complete(relay, client, server.address, "r3") == ["t0 ", "t1 "]
    server.stop()


@pytest.mark.parametrize("is_repeatable", [False, True])
@pytest.mark.parametrize("status", [b"503 Full", b"429 Slow", b"421 Other"])
def test_refusal_by_a_service_is_its_answer_and_is_not_sent_again(
    status, is_repeatable
):
    """No status proves that nothing ran, only a failed connect does."""

    def refuse(server, connection):
        server.read_request(connection)
        connection.sendall(make_response(b"full", status=status))

    server = RawServer(refuse)
    client = ServiceClient(UpstreamsSettings(()), now_ms)
    call = make_call(server.address, is_repeatable=is_repeatable)
    response = client.call(call).ok
    server.stop()
    assert (response.status, response.body) == (int(status.split()[0]), b"full")
    assert len(server.requests) == 1
