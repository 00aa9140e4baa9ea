"""A job's run before this instance knows what its submission was accepted under."""

from types import SimpleNamespace

import pytest
from expression import Ok

from buckthornrock.compose.deferred import build_job_runner
from buckthornrock.deferred import JobSubmission
from buckthornrock.deferred.retry_policy import judge
from buckthornrock.entry.errors import UnknownWorkClass
from buckthornrock.profiles import ProfileRecord
from buckthornrock.profiles.start import start_profile

BODY = {"model": "small", "prompt": "Sort these tags."}


def job(work_class):
    return JobSubmission(
        client_account="paddock",
        member="shed",
        profile="default",
        work_class=work_class,
        body=BODY,
        kind="completion",
        deadline_wall_ms=60_000,
        idempotency_key="",
    )


@pytest.mark.parametrize("work_class", ["notes", "urgent"])
def test_job_waits_until_a_profile_is_in_force(work_class):
    start = ProfileRecord("default", 0, start_profile(), "start")
    parts = SimpleNamespace(
        profiles=SimpleNamespace(current=lambda name: Ok(start)),
        clock=SimpleNamespace(now_ms=lambda: 0.0, wall_ms=lambda: 0),
        default_profile="default",
    )
    result = build_job_runner(parts)("job", job(work_class), None)
    assert judge(result.error, n_attempts=1) == "wait"


def test_job_of_a_class_that_is_not_known_here_yet_is_not_lost():
    # It was accepted where the change that brought the class had arrived before.
    assert judge(UnknownWorkClass("default", "notes"), n_attempts=9) == "wait"
