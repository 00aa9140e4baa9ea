"""The demo's steps; each returns what went wrong, or an empty string."""

import time
from collections.abc import Callable

import msgspec

from ..standins.engine import output_token
from ..telemetry.burn import BurnDocument
from ..telemetry.burn_report import merge_documents
from ..telemetry.burn_text import report_lines
from .demo_world import World, demo_profile

WAIT_LIMIT_S = 10.0


def check_stream(world: World) -> str:
    """Stream an urgent blurb and compare it with the undisturbed answer."""
    prompt = "Write a blurb for a 1970s suede jacket."
    body = {"model": "small", "prompt": prompt, "max_tokens": 12, "stream": True}
    response = world.post("/v1/completions", body)
    events = response.data.decode().strip().split("\n\n")
    if events[-1] != "data: [DONE]":
        return f"the stream ended with {events[-1]!r}"
    chunks = [msgspec.json.decode(e.partition("data: ")[2]) for e in events[:-1]]
    text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
    return _difference(text, _expected(prompt, 12))


def check_profile(world: World) -> str:
    """Apply a profile and wait until it is in force."""
    body = {"expected_version": 0, "profile": demo_profile()}
    applied = world.operate("PUT", "/v1/profiles/default", body)
    if applied.status != 200:
        return f"status {applied.status}: {applied.data!r}"
    in_force = world.operate("GET", "/statusz").json()["profiles"]["default"]
    return _difference(in_force["version"], 1)


def check_deferred(world: World) -> str:
    """Submit deferred notes and read them back."""
    prompt = "Sorting notes for bale 7."
    body = {"model": "small", "prompt": prompt, "max_tokens": 6}
    headers = {"Prefer": "respond-async", "X_Work_Class": "notes"}
    accepted = world.post("/v1/completions", body, **headers)
    if accepted.status != 202:
        return f"status {accepted.status}: {accepted.data!r}"
    view = _wait_for(lambda: _finished(world, accepted.headers["Location"]))
    if view is None:
        return "the job did not finish in time"
    return _difference(view["answer"]["choices"][0]["text"], _expected(prompt, 6))


def check_service(world: World) -> str:
    """Call the order service and compare the answer."""
    response = world.post("/services/orders/kilo", {"order": 1})
    if response.status != 200:
        return f"status {response.status}"
    return _difference(response.json()["n_runs"], 1)


def burn_lines(world: World) -> list[str]:
    """Return the burn report over what the demo sent."""
    raw = world.operate("GET", "/v1/burn").data
    document = msgspec.json.decode(raw, type=BurnDocument)
    return report_lines(merge_documents([document], ()))


def check_booking(world: World) -> str:
    """Send a booking twice with one key; it runs once and is answered twice."""
    answers = [
        world.post("/services/orders/bookings", {"depot": 3}, Idempotency_Key="demo-1")
        for _ in range(2)
    ]
    if [answer.status for answer in answers] != [200, 200]:
        return f"statuses {[answer.status for answer in answers]}"
    if answers[0].data != answers[1].data:
        return "the second answer differs from the first"
    return _difference(answers[1].json()["n_runs"], 1)


def _expected(prompt: str, n_tokens: int) -> str:
    return "".join(output_token("w1", prompt, index) for index in range(n_tokens))


def _finished(world: World, location: str) -> dict | None:
    view = world.get(location).json()
    return view if view["state"] == "done" else None


def _wait_for(condition: Callable[[], object]) -> object:
    give_up_at_s = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < give_up_at_s:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    return None


def _difference(found: object, wanted: object) -> str:
    return "" if found == wanted else f"found {found!r}, wanted {wanted!r}"


#: Titles and steps, in order.
STEPS: tuple[tuple[str, Callable[[World], str]], ...] = (
    ("an urgent stream arrives whole and in order", check_stream),
    ("an accepted profile change is in force", check_profile),
    ("deferred notes are read back", check_deferred),
    ("a plain-service call gets its own answer", check_service),
    ("a booking sent twice with one key runs once", check_booking),
)
