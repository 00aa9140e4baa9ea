"""An engine that gives no reports for a while keeps the work that it runs."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from benchmarks.stream_world import TIMEOUT_S, StreamWorld, ask, verdict
from buckthornrock.standins import engine
from buckthornrock.standins.engine import EngineStandin

PROMPT = "Assess lot 7 of contract 12. " * 20
N_TOKENS = 150


@pytest.fixture
def silence(monkeypatch):
    """Return an event; while it is set, engines close connections for reports."""
    is_silent = threading.Event()
    respond = EngineStandin._respond_load

    def respond_unless_silent(standin, exchange):
        if is_silent.is_set():
            exchange.abort()
            return
        respond(standin, exchange)

    monkeypatch.setitem(engine._HANDLERS, "/load", respond_unless_silent)
    return is_silent


@pytest.mark.parametrize("n_engines", [1, 2])
def test_stream_of_an_engine_without_reports_goes_on(silence, monkeypatch, n_engines):
    ids_started = []
    started = EngineStandin._started

    def count(standin, body, request_id):
        ids_started.append(request_id)
        return started(standin, body, request_id)

    monkeypatch.setattr(EngineStandin, "_started", count)
    world = StreamWorld(n_engines, inter_token_ms=20.0)
    begun = threading.Event()
    with ThreadPoolExecutor(1) as pool:
        response = pool.submit(
            ask, world.ports[0], PROMPT, N_TOKENS, on_begun=begun.set
        )
        assert begun.wait(TIMEOUT_S)
        silence.set()
        deadline_at_s = time.monotonic() + TIMEOUT_S
        while ask(world.ports[0], "anew", 1).error_code != "no-engine":
            assert time.monotonic() < deadline_at_s
            assert not response.done(), "the engine was never taken out"
        n_started = len(ids_started)
        assert verdict(response.result(), PROMPT, N_TOKENS) == "whole"
    world.stop()
    # Neither the stream nor anything else was started after the engines were taken out.
    assert len(ids_started) == n_started
