"""Blocking admission: order of wake-ups, refusals and callers that disconnect."""

import sys
import threading
import time
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from admission_builders import make_policy, make_query  # noqa: E402

from buckthornrock.admission.blocking import (  # noqa: E402
    Admission,
    AdmissionConfig,
    no_limits,
)
from buckthornrock.admission.model_queues import ModelQueueConfig  # noqa: E402
from buckthornrock.admission.policy import ModelCapacity  # noqa: E402
from buckthornrock.errors import CallerGone  # noqa: E402

WAIT_S = 10.0


def now_ms():
    return time.monotonic() * 1000.0


def make_admission(n_callers=100, n_deferrable=50, n_engines=1):
    config = AdmissionConfig(
        queues=ModelQueueConfig(0.0, 3_600_000.0, 0.0),
        controller="fixed",
        target_delay_ms=100.0,
        initial_window_tokens=100.0,
        output_token_cost=1.0,
        max_caller_threads=n_callers,
        max_deferrable_threads=n_deferrable,
    )
    capacity = ModelCapacity(n_engines, 1_000.0)

    def policy_of(query):
        is_deferrable = query.work_class == "notes"
        return make_policy(is_deferrable=is_deferrable, ttft_target_ms=3_600_000.0)

    return Admission(config, policy_of, lambda model: capacity, no_limits(), now_ms)


def query(**changes):
    changes.setdefault("deadline_at_ms", now_ms() + 60_000.0)
    return make_query(**changes)


def start(admission, one, results, is_abandoned=lambda: False):
    def run():
        results.append((one.request_id, admission.admit(one, is_abandoned)))

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def until(condition):
    fail_at = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < fail_at
        time.sleep(0.005)


def test_release_wakes_the_most_urgent_request():
    admission = make_admission()
    first = admission.admit(query(), lambda: False).ok
    results = []
    for index, rank in enumerate([1, 0]):
        start(admission, query(request_id=str(rank), rank=rank), results)
        n = index + 1
        until(lambda n=n: admission.waiting_tokens()["small"] == 100.0 * n)
    admission.release(first, 100, 0, True)
    until(lambda: results)
    assert [name for name, _ in results] == ["0"]
    admission.release(results[0][1].ok, 100, 0, True)
    until(lambda: len(results) == 2)


def test_second_release_of_a_ticket_has_no_effect():
    admission = make_admission()
    ticket = admission.admit(query(), lambda: False).ok
    for _ in range(2):
        admission.release(ticket, 100, 0, True)
    assert admission.admit(query(), lambda: False).is_ok()
    results = []
    start(admission, query(), results)
    until(lambda: admission.waiting_tokens()["small"] == 100.0)
    assert not results


def test_abandoned_request_frees_its_place():
    admission = make_admission()
    first = admission.admit(query(), lambda: False).ok
    results = []
    start(admission, query(request_id="gone"), results, lambda: True).join(WAIT_S)
    assert isinstance(results[0][1].error, CallerGone)
    admission.release(first, 100, 0, True)
    assert admission.admit(query(), lambda: False).is_ok()


def test_request_is_refused_when_its_deadline_passes():
    admission = make_admission()
    assert admission.admit(query(), lambda: False).is_ok()
    late = query(deadline_at_ms=now_ms() + 300.0, is_deferred=True)
    assert admission.admit(late, lambda: False).error.code == "too-late"


def test_model_without_engines_admits_at_once():
    admission = make_admission(n_engines=0)
    for _ in range(3):
        assert admission.admit(query(), lambda: False).is_ok()


THREAD_CASES = [
    # Work class of the waiting callers, work class of one more caller -> refused.
    ("notes", "notes", True),
    ("notes", "blurb", False),
    ("blurb", "blurb", False),
]


@pytest.mark.parametrize(("held", "asked", "is_refused"), THREAD_CASES)
def test_deferrable_callers_may_not_hold_all_threads(held, asked, is_refused):
    admission = make_admission(n_callers=10, n_deferrable=3)
    results = []
    for _ in range(3):
        start(admission, query(work_class=held, rank=2), results)
    until(lambda: len(results) == 1)
    until(lambda: admission.waiting_tokens()["small"] == 200.0)
    more = []
    start(admission, query(work_class=asked), more)
    if is_refused:
        until(lambda: more)
        assert more[0][1].error.code == "queue-full"
        return
    # Deferrable work in flight doesn't count against the window of urgent work.
    if held != asked:
        until(lambda: more)
        assert more[0][1].is_ok()
        return
    until(lambda: admission.waiting_tokens()["small"] == 300.0)


def test_refusal_without_a_free_thread_comes_at_once():
    admission = make_admission(n_callers=20)
    results = []
    for _ in range(20):
        start(admission, query(), results)
    until(lambda: admission.waiting_tokens().get("small") == 1_900.0)
    assert admission.admit(query(), lambda: False).error.code == "queue-full"
