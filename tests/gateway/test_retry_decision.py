"""Whether a request is sent again after a failed attempt.

Guards against requests that run twice, retries beyond the budget or the time left, and
prompts that are sent to a third engine after two crashes.
"""

from types import SimpleNamespace

import pytest

from buckthornrock.catalog.configuration import RouteKind
from buckthornrock.gateway.errors import (
    Interrupted,
    NotExecuted,
    NotReached,
    Withdrawn,
)
from buckthornrock.gateway.exchange_state import ExchangeState
from buckthornrock.gateway.requests import AdmittedRequest
from buckthornrock.gateway.retry_decision import (
    MAX_CRASHES,
    MAX_UNEXECUTED_ATTEMPTS,
    RESPONSE_MARGIN_MS,
    NextStep,
    decide_next,
)
from buckthornrock.gateway.stopping import Stopping
from buckthornrock.scheduling.retry_budget import RetryBudget
from tests.gateway.harness import route

NOW_MS = 1_000.0
N_RETRIES = 10
INTERRUPTED = Interrupted("reset")
DECLINED = NotExecuted(503)
UNREACHED = NotReached("refused")
WITHDRAWN = Withdrawn("the upstream leaves")
LAST_UNEXECUTED = {"n_unexecuted": MAX_UNEXECUTED_ATTEMPTS}


def exchange_state(kind=RouteKind.IDEMPOTENT, n_retries=N_RETRIES, left_ms=500.0, **of):
    """Return the state after a recorded failure, with ``of`` as its attributes."""
    # The retry budget uses 0.8 of the allowance.
    context = SimpleNamespace(
        budget=RetryBudget(0.0, n_retries / 0.8 + 0.1, 10_000.0),
        n_instances=lambda: 1,
        stopping=Stopping(),
    )
    admitted = AdmittedRequest(
        request=None,
        route=route(kind, "read", n_attempts=3),
        account=None,
        demand=SimpleNamespace(prompt=None, service=SimpleNamespace(name="till")),
        ends_at_ms=NOW_MS + left_ms,
    )
    state = ExchangeState(context, admitted, None)
    for name, value in of.items():
        setattr(state, name, value)
    return state


def n_retries_left(state):
    left = 0
    while state.context.budget.take("till", 1, NOW_MS):
        left += 1
    return left


@pytest.mark.parametrize(
    ("failure", "of", "expected", "n_counted"),
    [
        (INTERRUPTED, {"n_may_have_run": 1}, NextStep.TRY_AGAIN, 1),
        (
            INTERRUPTED,
            {"n_may_have_run": 1, "left_ms": RESPONSE_MARGIN_MS + 1.0},
            NextStep.TRY_AGAIN,
            1,
        ),
        (
            INTERRUPTED,
            {"n_may_have_run": 1, "left_ms": RESPONSE_MARGIN_MS},
            NextStep.TIME_USED,
            0,
        ),
        (
            INTERRUPTED,
            {"n_may_have_run": 1, "kind": RouteKind.NON_IDEMPOTENT},
            NextStep.NOT_REPEATABLE,
            0,
        ),
        (
            INTERRUPTED,
            {"n_may_have_run": 2, "n_crashes": MAX_CRASHES},
            NextStep.CRASHES_ENGINES,
            0,
        ),
        (INTERRUPTED, {"n_may_have_run": 3}, NextStep.ATTEMPTS_USED, 0),
        (INTERRUPTED, {"n_may_have_run": 1, "n_retries": 0}, NextStep.BUDGET_USED, 0),
        # What didn't run may be sent again on any route, also with little time left.
        (
            DECLINED,
            {"n_unexecuted": 1, "kind": RouteKind.NON_IDEMPOTENT, "left_ms": 1.0},
            NextStep.TRY_AGAIN,
            1,
        ),
        (DECLINED, {"n_unexecuted": 1, "n_retries": 0}, NextStep.BUDGET_USED, 0),
        (DECLINED, LAST_UNEXECUTED, NextStep.ATTEMPTS_USED, 0),
        # What reached no upstream needs no budget.
        (UNREACHED, {"n_unexecuted": 1, "n_retries": 0}, NextStep.TRY_AGAIN, 0),
        (UNREACHED, LAST_UNEXECUTED, NextStep.ATTEMPTS_USED, 0),
        (WITHDRAWN, LAST_UNEXECUTED, NextStep.TRY_AGAIN, 0),
    ],
)
def test_next_step(failure, of, expected, n_counted):
    n_retries = of.get("n_retries", N_RETRIES)
    state = exchange_state(**of)
    assert decide_next(state, failure, NOW_MS) is expected
    assert n_retries_left(state) == n_retries - n_counted
