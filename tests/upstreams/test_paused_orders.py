"""A process that is paused while it connects sends no order afterwards."""

import time

import pytest

from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.platform.engine_control import open_engine_control
from buckthornrock.rollout.plan import Order
from buckthornrock.rollout.port import FencingToken
from buckthornrock.runtime import bounded_http
from buckthornrock.runtime.clock import system_clock
from buckthornrock.upstreams.order_client import OrderClient
from buckthornrock.upstreams.order_messages import EngineOrder
from tests.upstreams.raw_server import RawServer, keep_responding

PAUSE_MS = 10_000.0


def order_on_the_platform(address):
    upstream = Upstream("e", "engines", address, "a", False, 1, 8, {"m": 1})
    order = Order(upstream, "m", 2)
    return open_engine_control().order(order, FencingToken("i1", 7, 0))


def order_of_our_own(address):
    order = EngineOrder("i1.7.1", "load", "m", "w2", "", "", 7)
    return OrderClient(600).send("e", address, order)


@pytest.mark.parametrize("send", [order_on_the_platform, order_of_our_own])
@pytest.mark.parametrize("pause_ms", [0.0, PAUSE_MS])
def test_order_is_not_sent_after_a_pause_while_connecting(monkeypatch, send, pause_ms):
    paused_ms = [0.0]
    connect = bounded_http.LimitedConnection.connect

    def connect_and_pause(connection):
        connect(connection)
        paused_ms[0] += pause_ms

    monkeypatch.setattr(bounded_http.LimitedConnection, "connect", connect_and_pause)
    monkeypatch.setattr(
        bounded_http, "_now_ms", lambda: system_clock().now_ms() + paused_ms[0]
    )
    server = RawServer(keep_responding)
    sent = send(server.address)
    server.stop()
    assert sent.is_error() == bool(pause_ms)
    assert len(server.requests) == (0 if pause_ms else 1)


def test_lease_clock_ignores_jumps_of_the_wall_clock(monkeypatch):
    clock = system_clock()
    before_ms = clock.now_ms()
    wall_s = time.time()
    for jump_s in (3_600.0, -3_600.0):
        monkeypatch.setattr(time, "time", lambda jump_s=jump_s: wall_s + jump_s)
        assert 0.0 <= clock.now_ms() - before_ms < 60_000.0
