"""Jobs on an instance that does not know the job's profile or work class yet.

Another instance, which already knew the newer profile, may have accepted them.
"""

from types import SimpleNamespace

import pytest
from expression import Ok

from buckthornrock.compose.deferred import build_job_runner
from buckthornrock.deferred import JobSubmission
from buckthornrock.deferred.retry_policy import decide_retry
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
def test_job_waits_while_only_the_start_profile_is_known(work_class):
    start = ProfileRecord("default", 0, start_profile(), "start")
    context = SimpleNamespace(
        profiles=SimpleNamespace(current=lambda name: Ok(start)),
        clock=SimpleNamespace(now_ms=lambda: 0.0, wall_ms=lambda: 0),
        default_profile="default",
    )
    result = build_job_runner(context)("job", job(work_class), None)
    assert decide_retry(result.error, n_attempts=1) == "wait"


def test_job_of_an_unknown_work_class_waits():
    # The instance that accepted the job already knew the version with this class.
    assert decide_retry(UnknownWorkClass("default", "notes"), n_attempts=9) == "wait"
