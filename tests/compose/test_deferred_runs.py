"""How a stored job becomes a request again."""

import pytest
from expression import Error, Ok

from buckthornrock.compose.deferred import build_job_runner
from buckthornrock.deferred import JobSubmission
from buckthornrock.deferred.context import JobControl
from buckthornrock.entry import EntryContext
from buckthornrock.profiles import ProfileRecord
from buckthornrock.profiles.start import start_profile
from buckthornrock.routing.errors import NoEngine
from buckthornrock.runtime import Clock
from buckthornrock.telemetry import Telemetry, open_log, open_metrics

DAY_MS = 24 * 3_600_000
CONTROL = JobControl(lambda rank: rank, lambda: False, lambda: False)


class Completions:
    """Notes what it is asked to run."""

    def __init__(self):
        self.requests = []

    def run(self, request, sink):
        self.requests.append(request)
        return Error(NoEngine(request.model))


def make_parts(completions):
    record = ProfileRecord("p", 1, start_profile(), "kv")
    entry_context = EntryContext(*(None for _ in EntryContext._fields))
    return entry_context._replace(
        profiles=type("Profiles", (), {"current": lambda self, name: Ok(record)})(),
        completions=completions,
        telemetry=Telemetry(open_log(None), open_metrics("", 0, "")),
        clock=Clock(lambda: 0.0, lambda: 0, lambda duration_ms: None),
        default_profile="p",
    )


@pytest.mark.parametrize("n_days", [1, 7, 8, 60])
def test_job_with_a_far_deadline_is_run(n_days):
    completions = Completions()
    job = JobSubmission(
        client_account="a",
        member="m",
        profile="p",
        work_class="urgent",
        body={"model": "small", "prompt": "x"},
        kind="completion",
        deadline_wall_ms=n_days * DAY_MS,
        idempotency_key="",
    )
    result = build_job_runner(make_parts(completions))("job", job, CONTROL)
    assert result.error.code == "no-engine"
    assert len(completions.requests) == 1
