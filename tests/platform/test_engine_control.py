"""Notices in engines' responses to reports and orders."""

import pytest

from buckthornrock.catalog.upstream_notices import Notice
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.platform.engine_control import open_engine_control
from buckthornrock.rollout.plan import Order
from buckthornrock.rollout.port import FencingToken
from tests.upstreams.raw_server import RawServer

LEAVING = b"Server-Leaving: 1\r\n"
REPORT = b'{"models": [], "busy": false, "sequence": 0}'


def responding(status, extra):
    def script(server, connection):
        server.read_request(connection)
        head = b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n"
        connection.sendall(head % (status, extra, len(REPORT)) + REPORT)

    return script


@pytest.mark.parametrize("is_order", [False, True], ids=["report", "order"])
@pytest.mark.parametrize(
    ("status", "extra", "notice"),
    [
        (b"200 OK", b"", Notice()),
        (b"200 OK", LEAVING, Notice(is_leaving=True)),
        (b"503 Busy", LEAVING, Notice(is_leaving=True)),
        (b"503 Busy", b"Retry-After: 2\r\n", Notice(False, True, 2_000.0)),
        (b"421 Other", LEAVING, Notice()),
    ],
)
def test_notice_in_a_response_of_an_engine_is_learnt(status, extra, notice, is_order):
    server = RawServer(responding(status, extra))
    engine = Upstream("e", "engines", server.address, "a", False, 1, 8, {"m": 1})
    learnt = []
    control = open_engine_control(lambda *arguments: learnt.append(arguments))
    if is_order:
        control.order(Order(engine, "m", 2), FencingToken("i", 1, 0))
    else:
        control.report(engine)
    assert [said for _, said in learnt if said != Notice()] == (
        [notice] if notice != Notice() else []
    )
    assert all(upstream == engine for upstream, _ in learnt)
