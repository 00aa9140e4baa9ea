"""What reaches an engine, and what becomes of engines that break off at once."""

import msgspec
import pytest

from buckthornrock.conf.settings import UpstreamsSettings
from buckthornrock.upstreams.engine_client import EngineClient
from buckthornrock.upstreams.engine_stream import EngineCall
from tests.upstreams.raw_server import RawServer, answer


def make_call(address, **changes):
    call = EngineCall("e", address, "r", {}, "aa", "w", 0, 0)
    return call._replace(**changes)


@pytest.fixture
def serve():
    servers = []

    def start(script):
        servers.append(RawServer(script))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


#: Fields that a caller must not choose, and what the router sends in their place.
RESERVED = {
    "cache_salt": "aa",
    "priority": 0,
    "output_offset": 0,
    "generated": "",
    "resume_stream": "",
    "stream": True,
}


def test_caller_does_not_choose_what_the_router_decides(serve):
    def refuse(server, connection):
        server.read_request(connection)
        connection.sendall(answer(status=b"404 Not Found"))

    server = serve(refuse)
    body = dict.fromkeys(RESERVED, "of another")
    body |= {"seed": 7, "stream_options": {"include_usage": True}}
    client = EngineClient(UpstreamsSettings(()))
    assert client.open_stream(make_call(server.address, body=body)).is_error()
    sent = msgspec.json.decode(server.requests[0].partition(b"\r\n\r\n")[2])
    kept = {name: sent.get(name, value) for name, value in RESERVED.items()}
    assert kept == RESERVED
    assert sent["seed"] == 7
    # Its event of the usage holds no token and no offset.
    assert "stream_options" not in sent
