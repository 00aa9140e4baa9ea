"""Regression tests for faults that were found by reading the code."""

import sys
import threading
import time
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
from admission_builders import (  # noqa: E402
    make_policy,
    make_query,
    make_queues,
    make_request,
    release,
)

from buckthornrock.admission.blocking import (  # noqa: E402
    Admission,
    AdmissionConfig,
    LimitPort,
    no_limits,
)
from buckthornrock.admission.displacement import find_displaced  # noqa: E402
from buckthornrock.admission.model_queues import ModelQueueConfig  # noqa: E402
from buckthornrock.admission.policy import ModelCapacity  # noqa: E402
from buckthornrock.admission.window import CONTROLLERS, Window  # noqa: E402


def now_ms():
    return time.monotonic() * 1000.0


def make_admission(n_callers=2, n_engines=1, limits=None):
    config = AdmissionConfig(
        queues=ModelQueueConfig(0.0, 3_600_000.0, 0.0),
        controller="fixed",
        target_delay_ms=100.0,
        initial_window_tokens=100.0,
        output_token_cost=1.0,
        max_caller_threads=n_callers,
        max_deferrable_threads=n_callers,
    )
    capacity = ModelCapacity(n_engines, 1_000.0)
    policy = make_policy(ttft_target_ms=3_600_000.0)
    limits = limits or no_limits()
    return Admission(
        config, lambda query: policy, lambda model: capacity, limits, now_ms
    )


@pytest.mark.parametrize("is_admitted_meanwhile", [False, True])
def test_exception_while_waiting_frees_the_place_of_the_request(is_admitted_meanwhile):
    admission = make_admission()
    query = make_query(deadline_at_ms=now_ms() + 10_000.0)
    first = admission.admit(query, lambda: False).ok

    def raise_error():
        if is_admitted_meanwhile:
            admission.release(first, 100, 0, True)
        raise OSError("the caller's connection can't be looked at")

    with pytest.raises(OSError, match="connection"):
        admission.admit(query, raise_error)
    assert admission.waiting_tokens() == {"small": 0.0}
    admission.release(first, 100, 0, True)
    second = admission.admit(query, lambda: False)
    assert second.is_ok()
    assert second.ok.waited_ms == 0.0


def test_slow_first_tokens_of_deferrable_work_cause_no_urgent_refusal():
    queues = make_queues(window_tokens=100.0)
    deferrable = make_policy(is_deferrable=True)
    for index in range(40):
        at_ms = 1_000.0 * index
        assert queues.offer(make_request(policy=deferrable, rank=2), at_ms) is None
        for request in queues.dispatch(at_ms):
            release(queues, request, at_ms + 900.0, ttft_ms=30_000.0)
    urgent = make_policy(ttft_target_ms=1_300.0)
    now = 50_000.0
    requests = [
        make_request(policy=urgent, now_ms=now, deadline_at_ms=now + 5_000.0)
        for _ in range(3)
    ]
    # The first request runs, the second waits 100 ms and the third 200 ms.
    for request in requests:
        assert queues.offer(request, now) is None
        queues.dispatch(now)


def test_account_that_fills_all_threads_does_not_block_other_accounts():
    admission = make_admission(n_callers=20)
    results = []

    def admit(account):
        query = make_query(client_account=account, deadline_at_ms=now_ms() + 60_000.0)
        results.append((account, admission.admit(query, lambda: False)))

    def start(account):
        threading.Thread(target=admit, args=(account,), daemon=True).start()

    def until(condition):
        fail_at_ms = now_ms() + 10_000.0
        while not condition():
            assert now_ms() < fail_at_ms
            time.sleep(0.005)

    for _ in range(20):
        start("large")
    until(lambda: admission.waiting_tokens().get("small") == 1_900.0)
    first = results.pop()[1].ok
    start("little")
    until(lambda: results)
    account, refused = results.pop()
    assert (account, refused.error.code) == ("large", "queue-full")
    assert admission.waiting_tokens() == {"small": 1_900.0}
    for _ in range(2):
        admission.release(first, 100, 0, True)
        until(lambda: results)
        account, served = results.pop()
        if account == "little":
            break
        first = served.ok
    assert account == "little"
    assert served.is_ok()


DISPLACEMENTS = [
    # Waiting requests (account, weight, rank), the new request, and the account and
    # rank of the displaced request or None.
    ([("a", 1.0, 0)] * 3, ("a", 1.0, 0), None),
    ([("a", 1.0, 0)] * 3, ("b", 1.0, 0), ("a", 0)),
    ([("a", 1.0, 0)], ("b", 1.0, 0), None),
    ([("a", 1.0, 0), ("a", 1.0, 2), ("a", 1.0, 1)], ("b", 1.0, 1), ("a", 2)),
    ([("a", 1.0, 0)] * 3, ("b", 1.0, 1), None),
    ([("a", 4.0, 0)] * 4 + [("c", 1.0, 0)] * 3, ("b", 1.0, 0), ("c", 0)),
]


@pytest.mark.parametrize(("waiting", "new_request", "displaced"), DISPLACEMENTS)
def test_account_with_most_waiting_per_weight_is_displaced(
    waiting, new_request, displaced
):
    def request(account, weight, rank):
        one = make_request(client_account=account, weight=weight, rank=rank)
        one.state = "waiting"
        return one

    found = find_displaced([request(*one) for one in waiting], request(*new_request))
    found = found and (found.query.client_account, found.query.rank)
    assert found == displaced


@pytest.mark.parametrize("name", ["aimd", "gradient"])
def test_window_does_not_shrink_for_the_base_delay_of_engines(name):
    window = Window(CONTROLLERS[name](100.0), 8_192.0)
    for index in range(8_000):
        window.note_use(1.0)
        queue_ms = max(0.0, window.tokens_per_engine - 50_000.0) / 10.0
        ttft_ms, now_ms = 300.0 + queue_ms, index * 25.0
        window.note_first_token(ttft_ms, 0.0, now_ms - ttft_ms, now_ms)
    assert window.tokens_per_engine >= 8_192.0


def test_request_for_a_model_without_engines_is_not_charged():
    corrections = []
    limits = LimitPort(
        lambda request, now_ms: None,
        lambda request, extra_tokens: corrections.append(
            (request.cost_tokens, extra_tokens)
        ),
    )
    admission = make_admission(n_engines=0, limits=limits)
    assert admission.admit(make_query(), lambda: False).is_ok()
    ((cost_tokens, extra_tokens),) = corrections
    assert cost_tokens > 0.0
    assert extra_tokens == -cost_tokens
