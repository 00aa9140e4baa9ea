"""A server or engine that stops within a response head never seems to answer."""

import socket
import struct

import pytest

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.errors import UpstreamRefused
from tests.upstreams.raw_server import RawServer, echoed_id, make_response
from tests.upstreams.test_engine_client import make_call as make_engine_call
from tests.upstreams.test_service_client import make_call, make_client

FRAMINGS = {
    "length": b"Content-Length: 10\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "unframed": b"",
}


def head(framing: str, status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 " + status + b"\r\n" + FRAMINGS[framing] + b"Server: x\r\n\r\n"


class CutServer(RawServer):
    """Answers the first request of a kept connection and cuts the next head."""

    def __init__(self, ending: str, is_kept: bool) -> None:
        super().__init__(CutServer._serve)
        self.part, self.n_cut = b"", 0
        self._ending, self._is_kept = ending, is_kept

    def _serve(self, connection):
        if self._is_kept:
            # Connections are kept only to servers that echo the request's id.
            first = self.read_request(connection)
            connection.sendall(make_response(headers=echoed_id(first)))
        if not self.read_request(connection):
            return
        self.n_cut += 1
        connection.sendall(self.part)
        if self._ending == "reset":
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_truncated_head_of_a_service_is_no_response(framing, ending, is_kept):
    server = CutServer(ending, is_kept)
    client = make_client()
    full = head(framing)
    for n_bytes in range(len(full) + 1):
        server.part = full[:n_bytes]
        call = make_call(server.address, is_repeatable=is_kept)
        if is_kept:
            assert client.call(call).is_ok()
        result = client.call(call)
        if n_bytes == len(full) and result.is_ok() and result.ok.rest is not None:
            continue
        assert result.is_error(), n_bytes
        assert result.error.not_run == "unknown"
    assert server.n_cut == len(full) + 1
    server.stop()


@pytest.mark.parametrize("status", [b"200 OK", b"503 Full"])
@pytest.mark.parametrize("ending", ["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_truncated_head_of_an_engine_is_no_response(framing, ending, status):
    server = CutServer(ending, is_kept=False)
    client = EngineClient(UpstreamsSettings(()))
    full = head(framing, status)
    for n_bytes in range(len(full)):
        server.part = full[:n_bytes]
        result = client.open_stream(make_engine_call(server.address))
        assert result.is_error(), n_bytes
        assert not isinstance(result.error, UpstreamRefused), n_bytes
    server.stop()
