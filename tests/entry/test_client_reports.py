"""Log volume stays bounded however many clients are refused; metrics count them all."""

from buckthornrock.entry.client_reports import (
    LOG_PERIOD_MS,
    LineBudget,
    error_reporter,
    limit_reporter,
)
from buckthornrock.events import entry as events
from buckthornrock.httpd import Limit
from buckthornrock.telemetry import Metrics, Telemetry
from buckthornrock.telemetry.metrics import CLIENT_LIMITS


class Recorder:
    """Telemetry that keeps what it gets, and a clock."""

    def __init__(self):
        self.at_ms = 0.0
        self.lines = []
        self.counts = {}
        metrics = Metrics(self._incr, None, None)
        self.telemetry = Telemetry(self._log, metrics)

    def _log(self, event, **fields):
        assert set(fields) == set(event.fields)
        self.lines.append((event, fields))

    def _incr(self, name, n=1, label=""):
        self.counts[name, label] = self.counts.get((name, label), 0) + n


def test_a_limit_is_logged_once_in_a_period_and_counted_always():
    recorder = Recorder()
    report = limit_reporter(recorder.telemetry, lambda: recorder.at_ms, "entry")
    for _ in range(1_000):
        report(Limit.HELD_BYTES)
    report(Limit.CONNECTIONS)
    recorder.at_ms = LOG_PERIOD_MS
    report(Limit.HELD_BYTES)
    logged = [(f["limit"], f["n_clients"]) for _, f in recorder.lines]
    assert logged == [("held_bytes", 1), ("connections", 1), ("held_bytes", 1_000)]
    assert recorder.counts[CLIENT_LIMITS, "entry.held_bytes"] == 1_001


def test_errors_of_the_server_are_logged_once_in_a_period():
    recorder = Recorder()
    log_error = error_reporter(recorder.telemetry, lambda: recorder.at_ms, "entry")
    for _ in range(100):
        log_error("x" * 100_000, traceback=True)
    assert [event for event, _ in recorder.lines] == [events.SERVER_ERROR]
    assert len(recorder.lines[0][1]["reason"]) <= 500


def test_line_budget_tells_how_many_were_left_out():
    at_ms = [0.0]
    budget = LineBudget(2, 1_000.0, lambda: at_ms[0])
    assert [budget.take() for _ in range(4)] == [0, 0, None, None]
    at_ms[0] = 1_000.0
    assert budget.take() == 2
