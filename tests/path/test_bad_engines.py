"""Engines that close every connection, and callers that disconnect."""

import http.client
import time
from collections import Counter

import msgspec
import pytest

from benchmarks.stream_world import StreamWorld, ask, verdict

from .scripted_engine import ScriptedEngine

PROMPTS = [f"Assess lot {number} of contract 12. " * 20 for number in range(24)]
N_TOKENS = 6
WAIT_LIMIT_S = 5.0


class HeadOnlyEngine(ScriptedEngine):
    """Responds to every completion with a head and then closes the connection."""

    def __init__(self):
        super().__init__()
        self.n_by_request = Counter()

    def _respond(self, exchange, body, is_faulty):
        self.n_by_request[exchange.headers["x-request-id"]] += 1
        exchange.abort()


def test_engine_that_closes_before_its_first_token_is_tried_once_per_request():
    bad = HeadOnlyEngine()
    world = StreamWorld(0, handlers=[bad.handle, ScriptedEngine().handle])
    verdicts = {verdict(ask(world.ports[0], p, N_TOKENS), p, N_TOKENS) for p in PROMPTS}
    world.stop()
    assert "whole" in verdicts
    assert bad.n_by_request
    assert set(bad.n_by_request.values()) == {1}


@pytest.fixture
def world():
    world = StreamWorld(1, inter_token_ms=20.0)
    yield world
    world.stop()


def wait_until(condition):
    deadline_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < deadline_at_s
        time.sleep(0.02)


@pytest.mark.parametrize("is_streamed", [True, False])
def test_disconnected_caller_frees_the_engine(world, is_streamed):
    core = world.engines[0]._core
    body = {"model": "small", "prompt": PROMPTS[0], "max_tokens": 2_000}
    body["stream"] = is_streamed
    caller = http.client.HTTPConnection("127.0.0.1", world.ports[0])
    head = {"Authorization": "Bearer north-key"}
    caller.request("POST", "/v1/completions", msgspec.json.encode(body), head)
    wait_until(lambda: core.running)
    caller.close()
    wait_until(lambda: not core.running)
