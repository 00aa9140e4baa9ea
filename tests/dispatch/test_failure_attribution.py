"""Which failures count against the health of an upstream."""

import random
from types import SimpleNamespace

import pytest
from expression import Error

from buckthornrock.dispatch.completions import CompletionDispatcher
from buckthornrock.dispatch.progress import RESPONSE_DIFFERS, Progress
from buckthornrock.dispatch.requests import Caller, ServiceRequest
from buckthornrock.dispatch.services import ServiceDispatcher
from buckthornrock.fleet import ServiceView
from buckthornrock.upstreams.engine_stream import OTHER_WEIGHTS
from buckthornrock.upstreams.errors import AttemptFailed, StreamBroken, UpstreamRefused

NOW_MS = 1_000.0
TIMED_OUT = AttemptFailed("u", "ReadTimeoutError", "unknown")

#: The failure, the time left until the deadline, and whether the failure counts.
ENGINE_FAILURES = [
    (TIMED_OUT, 1.0, True),
    (TIMED_OUT, 0.0, False),
    (StreamBroken("u", "stalled"), 1.0, True),
    (StreamBroken("u", OTHER_WEIGHTS), 1.0, False),
    (StreamBroken("u", RESPONSE_DIFFERS), 1.0, False),
    (UpstreamRefused("u", 500), 1.0, True),
    (UpstreamRefused("u", 400), 1.0, False),
]


class FleetRecorder:
    """Records reported outcomes."""

    def __init__(self):
        self.outcomes = []

    def note_outcome(self, upstream_id, is_ok):
        self.outcomes.append(is_ok)

    def begin(self, upstream_id):
        pass

    def end(self, upstream_id):
        pass


def ignore(*_, **__):
    return None


@pytest.mark.parametrize(("failure", "remaining_ms", "is_counted"), ENGINE_FAILURES)
def test_failure_counts_against_the_engine(failure, remaining_ms, is_counted):
    fleet = FleetRecorder()
    context = SimpleNamespace(
        fleet=fleet,
        routing=SimpleNamespace(on_failed=ignore),
        telemetry=SimpleNamespace(
            log=ignore,
            metrics=SimpleNamespace(incr=ignore),
            decisions=SimpleNamespace(on_failed=ignore),
        ),
        now_ms=lambda: NOW_MS,
    )
    dispatcher = CompletionDispatcher(None, context, ignore, random.Random(1))
    request = SimpleNamespace(request_id="r", deadline_at_ms=NOW_MS + remaining_ms)
    choice = SimpleNamespace(upstream_id="u")
    plan = SimpleNamespace(query=None, choice=choice, resumed=None)
    progress = Progress("r", 0.0, None)
    dispatcher._record_failure(request, plan, failure, progress)
    assert fleet.outcomes == [False] * is_counted


@pytest.mark.parametrize(("remaining_ms", "is_counted"), [(1.0, True), (0.0, False)])
def test_failure_counts_against_the_server(remaining_ms, is_counted):
    fleet = FleetRecorder()
    dispatcher = ServiceDispatcher(
        fleet,
        SimpleNamespace(call=lambda call: Error(TIMED_OUT)),
        None,
        None,
        SimpleNamespace(metrics=SimpleNamespace(incr=ignore)),
        SimpleNamespace(now_ms=lambda: NOW_MS),
        random.Random(1),
        max_calls=1,
    )
    request = ServiceRequest(
        request_id="r",
        caller=Caller("a", ""),
        profile="default",
        service="orders",
        method="POST",
        path="/",
        headers={},
        body=b"",
        idempotency_key="",
        deadline_at_ms=NOW_MS + remaining_ms,
    )
    server = ServiceView("u", "orders", "127.0.0.1:1", "fd-0", 0, 1.0)
    dispatcher._attempt(request, server, is_repeatable=False)
    assert fleet.outcomes == [False] * is_counted
