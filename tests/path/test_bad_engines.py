"""Bad engines and callers that leave: who is asked again, and who is freed."""

from collections import Counter


from benchmarks.stream_world import StreamWorld, ask, verdict

from .scripted_engine import ScriptedEngine

PROMPTS = [f"Assess lot {number} of contract 12. " * 20 for number in range(24)]
N_TOKENS = 6


class HeadOnlyEngine(ScriptedEngine):
    """Answers every completion with a head and a closed connection."""

    def __init__(self):
        super().__init__()
        self.n_by_request = Counter()

    def _answer(self, exchange, body, is_faulty):
        self.n_by_request[exchange.headers["x-request-id"]] += 1
        exchange.abort()


def test_engine_that_cuts_before_its_first_token_is_asked_once_a_request():
    bad = HeadOnlyEngine()
    world = StreamWorld(0, handlers=[bad.handle, ScriptedEngine().handle])
    verdicts = {verdict(ask(world.ports[0], p, N_TOKENS), p, N_TOKENS) for p in PROMPTS}
    world.stop()
    assert "whole" in verdicts
    assert bad.n_by_request
    assert set(bad.n_by_request.values()) == {1}
