"""Streams over sockets: altered responses, faulty engines, callers that reconnect."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from benchmarks.stream_world import (
    TIMEOUT_S,
    StreamWorld,
    ask,
    expected_text,
    random_prompt,
    verdict,
)
from buckthornrock.standins.engine_faults import Fault, Script

from .scripted_engine import DONE, ScriptedEngine, event

PROMPT = "Assess lot 7 of contract 12. " * 20
N_TOKENS = 12
AT = 5


def changed(**fields):
    """Return a ``tamper`` function that alters the chunk at ``AT``."""

    def tamper(index, chunk):
        return [event(chunk | fields if index == AT else chunk)]

    return tamper


def other_text(chunk):
    return chunk | {"choices": [{"index": 0, "text": "stolen ", "finish_reason": None}]}


ALTERATIONS = {
    "another member's salt": lambda i, c: [event(other_text(c | {"cache_salt": "ab"}))],
    "another request": lambda i, c: [event(other_text(c | {"id": "other"}))],
    "old weights": lambda i, c: [event(other_text(c | {"weights": "w0"}))],
    "salt changes midway": changed(cache_salt="cd"),
    "request changes midway": changed(id="other"),
    "weights change midway": changed(weights="w0"),
    "stream changes midway": changed(stream="s2"),
    "gap": lambda i, c: [event(c)] if i != AT else [],
    "repeat": lambda i, c: [event(c)] * (2 if i == AT else 1),
    "cut": lambda i, c: [event(c) if i != AT else None],
    "cut inside an event": lambda i, c: [event(c)] if i < AT else [event(c)[:9], None],
    "early end": lambda i, c: [event(c)] if i < AT else [DONE, None],
    "no JSON": lambda i, c: [event(c) if i != AT else b"data: {]\n\n"],
}


FOREIGN_FROM_FIRST_CHUNK = [
    ALTERATIONS[name]
    for name in ("another member's salt", "another request", "old weights")
]


@pytest.fixture(scope="module")
def scripted():
    engine = ScriptedEngine()
    world = StreamWorld(0, handlers=[engine.handle])
    yield engine, world.ports[0]
    world.stop()


@pytest.mark.parametrize("tamper", ALTERATIONS.values(), ids=ALTERATIONS)
def test_altered_response_is_never_delivered(scripted, tamper):
    engine, port = scripted
    engine.inject(tamper, n_faulty=0)
    for _ in range(10):
        # Successful requests add the retries that the broken responses need.
        assert ask(port, "x", 1).is_whole
    engine.inject(tamper, n_faulty=1)
    assert verdict(ask(port, PROMPT, N_TOKENS), PROMPT, N_TOKENS) == "whole"
    assert engine.n_responses == 2
    engine.inject(tamper, n_faulty=1_000)
    response = ask(port, PROMPT, N_TOKENS)
    # Attempts that each get further may still add up to the whole response.
    assert not verdict(response, PROMPT, N_TOKENS).startswith("WRONG")
    if tamper in FOREIGN_FROM_FIRST_CHUNK:
        assert (response.text, response.is_whole, response.status) == ("", False, 502)


@pytest.fixture(scope="module")
def world():
    world = StreamWorld(3, n_instances=2, inter_token_ms=5.0)
    yield world
    world.stop()


def inject_everywhere(world, *faults):
    for engine in world.engines:
        engine.control(Script(list(faults), seed=1))


@pytest.fixture(autouse=True)
def no_faults(request):
    yield
    if "world" in request.fixturenames:
        inject_everywhere(request.getfixturevalue("world"))


#: Streams that have begun when a fault occurs, and requests after it. The retry budget
#: must cover all of the latter, in case every one reaches the faulty engine first.
N_BEGUN, N_NEW = 18, 4

FAULTS = {
    "crash": Fault("crash", for_ms=400.0),
    "stall": Fault("stall", for_ms=3_000.0),
    "cut": Fault("cut", for_ms=60_000.0),
    "crossed": Fault("crossed", for_ms=60_000.0),
    "other weights": Fault("other_weights", for_ms=60_000.0, value="w0"),
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
def test_stream_survives_a_faulty_engine(world, fault):
    rng = random.Random(2)
    prompts = [random_prompt(rng) for _ in range(N_BEGUN + N_NEW)]
    begun = threading.Semaphore(0)

    def ask_one(prompt):
        return ask(world.ports[0], prompt, 40, on_begun=begun.release)

    with ThreadPoolExecutor(N_BEGUN + N_NEW) as pool:
        responses = [pool.submit(ask_one, prompt) for prompt in prompts[:N_BEGUN]]
        assert all(begun.acquire(timeout=TIMEOUT_S) for _ in responses)
        world.engines[0].control(Script([fault], seed=3))
        responses += [pool.submit(ask_one, prompt) for prompt in prompts[N_BEGUN:]]
        verdicts = [
            verdict(response.result(), prompt, 40)
            for response, prompt in zip(responses, prompts, strict=True)
        ]
    assert set(verdicts) == {"whole"}
    time.sleep(0.5)


def resume(world, response, prompt=PROMPT, n_tokens=60, **changes):
    return ask(
        world.ports[1],
        prompt,
        n_tokens,
        last_event_id=response.last_event_id,
        **changes,
    )


@pytest.mark.parametrize("is_engine_lost", [False, True])
def test_caller_resumes_through_another_instance(world, is_engine_lost):
    first = ask(world.ports[0], PROMPT, 60, cut_after_n_events=17)
    if is_engine_lost:
        inject_everywhere(world, Fault("crash", for_ms=300.0))
        time.sleep(0.8)
    rest = resume(world, first)
    assert rest.is_whole, rest
    assert first.text + rest.text == expected_text(PROMPT, 60)


def test_caller_that_lacks_only_the_end_mark_gets_it(world):
    first = ask(world.ports[0], PROMPT, 8, cut_after_n_events=8)
    rest = resume(world, first, n_tokens=8)
    assert (first.text + rest.text, rest.is_whole) == (expected_text(PROMPT, 8), True)


REFUSALS = [
    ({"key": "south-key"}, "bad-event-id"),
    ({"key": "shop-key"}, "bad-event-id"),
    ({"prompt": PROMPT + "!"}, "event-id-mismatch"),
    ({"n_tokens": 61}, "event-id-mismatch"),
]


@pytest.mark.parametrize(("changes", "code"), REFUSALS)
def test_event_id_is_refused_to_others_and_for_other_requests(world, changes, code):
    first = ask(world.ports[0], PROMPT, 60, cut_after_n_events=3)
    response = resume(world, first, **changes)
    assert (response.error_code, response.text) == (code, "")


def test_disconnect_frees_the_engine(world):
    ask(world.ports[0], PROMPT, 4_000, cut_after_n_events=3)
    deadline_at_s = time.monotonic() + 5.0
    while any(engine._core.running for engine in world.engines):
        assert time.monotonic() < deadline_at_s
        time.sleep(0.02)
