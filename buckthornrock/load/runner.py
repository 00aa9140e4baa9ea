"""Sends arrivals at their times, whatever becomes of those before (open loop)."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from .arrivals import Arrival, plan_arrivals
from .client import Expected, Outcome, open_pool, send
from .results import Collector, LoadResult
from .spec import LoadSpec

#: Requests in flight; arrivals beyond are skipped and counted, never delayed.
MAX_IN_FLIGHT = 1_500
PROGRESS_PERIOD_S = 1.0

#: ``report(elapsed_s, collector)`` shows the progress.
Report = Callable[[float, Collector], None]


def run_load(spec: LoadSpec, expected: Expected, report: Report) -> LoadResult:
    """Run ``spec`` and return its result."""
    arrivals = list(plan_arrivals(spec))
    collector = Collector()
    runner = _Runner(spec, expected, collector)
    stop = threading.Event()
    start_s = _start_s(spec)
    shower = threading.Thread(
        target=_show, args=(start_s, collector, report, stop), daemon=True
    )
    shower.start()
    runner.send_all(arrivals, start_s)
    runner.finish()
    stop.set()
    return LoadResult(
        mix=spec.mix,
        seed=spec.seed,
        rate_per_s=spec.rate_per_s,
        duration_ms=spec.duration_ms,
        groups=collector.groups(),
        on_time_by_account=collector.on_time_by_account(),
        n_skipped=runner.n_skipped,
        worst_lateness_ms=round(runner.worst_lateness_ms, 1),
        processor_share=round(collector.processor_share(), 3),
        note=spec.note,
    )


class _Runner:
    """Threads that wait for answers while the caller's thread keeps to the times."""

    def __init__(
        self, spec: LoadSpec, expected: Expected, collector: Collector
    ) -> None:
        self.n_skipped = 0
        self.worst_lateness_ms = 0.0
        self._spec = spec
        self._expected = expected
        self._collector = collector
        self._pool = open_pool(MAX_IN_FLIGHT)
        self._threads = ThreadPoolExecutor(MAX_IN_FLIGHT)
        self._give_up_at_s = 0.0
        self._lock = threading.Lock()
        self._open: dict[int, Arrival] = {}

    def send_all(self, arrivals: list[Arrival], start_s: float) -> None:
        """Send each arrival at its time."""
        end_ms = self._spec.duration_ms + self._spec.grace_ms
        self._give_up_at_s = start_s + end_ms / 1000.0
        for arrival in arrivals:
            due_at_s = start_s + arrival.at_ms / 1000.0
            wait_s = due_at_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            lateness_ms = (time.monotonic() - due_at_s) * 1000.0
            self.worst_lateness_ms = max(self.worst_lateness_ms, lateness_ms)
            self._send(arrival, due_at_s)

    def finish(self) -> None:
        """Wait for the answers, as long as the grace lasts; count those missing."""
        while time.monotonic() < self._give_up_at_s and self._open:
            time.sleep(0.05)
        self._threads.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            missing = list(self._open.values())
            self._open.clear()
        for arrival in missing:
            self._collector.add(Outcome(arrival, "unfinished"))

    def _send(self, arrival: Arrival, due_at_s: float) -> None:
        self._collector.note_sent()
        with self._lock:
            is_full = len(self._open) >= MAX_IN_FLIGHT
            if not is_full:
                self._open[arrival.serial] = arrival
        if is_full:
            self.n_skipped += 1
            self._collector.add(Outcome(arrival, "skipped"))
            return
        self._threads.submit(self._run_one, arrival, due_at_s)

    def _run_one(self, arrival: Arrival, due_at_s: float) -> None:
        key = self._spec.keys[f"{arrival.client_account}/{arrival.member}"]
        outcome = send(
            self._pool, arrival, key, due_at_s, self._give_up_at_s, self._expected
        )
        with self._lock:
            is_counted = self._open.pop(arrival.serial, None) is None
        if not is_counted:
            self._collector.add(outcome)


def _start_s(spec: LoadSpec) -> float:
    if not spec.start_at_wall_ms:
        return time.monotonic()
    return time.monotonic() + spec.start_at_wall_ms / 1000.0 - time.time()


def _show(
    start_s: float, collector: Collector, report: Report, stop: threading.Event
) -> None:
    while not stop.wait(PROGRESS_PERIOD_S):
        report(time.monotonic() - start_s, collector)
