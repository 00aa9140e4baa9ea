"""Measures what an instance uses: the event loop's lateness, processor and digests."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ..events import gateway as events
from ..telemetry import Telemetry
from ..telemetry.metrics import (
    CONFIGURATION_VERSION,
    DIGEST_BYTES,
    DIGESTS,
    LOOP_LAG_MS,
    STORE_AGE_MS,
)

SAMPLE_PERIOD_MS = 100.0
REPORT_PERIOD_MS = 5_000.0


class DigestTraffic(NamedTuple):
    """Digests that this instance has sent and received since its start."""

    n_sent: int = 0
    n_bytes_sent: int = 0
    n_received: int = 0
    n_bytes_received: int = 0

    def with_sent(self, n_bytes: int) -> "DigestTraffic":
        """Return the counts after a digest was sent."""
        return self._replace(
            n_sent=self.n_sent + 1, n_bytes_sent=self.n_bytes_sent + n_bytes
        )

    def with_received(self, n_bytes: int) -> "DigestTraffic":
        """Return the counts after a digest was received."""
        return self._replace(
            n_received=self.n_received + 1,
            n_bytes_received=self.n_bytes_received + n_bytes,
        )

    def minus(self, other: "DigestTraffic") -> "DigestTraffic":
        """Return what came in between."""
        return DigestTraffic(*(a - b for a, b in zip(self, other, strict=True)))


class ResourceInputs(NamedTuple):
    """Where the figures come from.

    Parameters
    ----------
    traffic : callable
        Digests so far.
    n_instances : callable
        Live instances.
    n_connections : callable
        Clients' open connections.
    configuration_version : callable
        Version in force.
    store_age_ms : callable
        Time since the store confirmed what is known; None before it did.
    cpu_ms : callable
        Processor time of the process.
    now_ms : callable
        Monotonic milliseconds.
    """

    traffic: Callable[[], DigestTraffic]
    n_instances: Callable[[], int]
    n_connections: Callable[[], int]
    configuration_version: Callable[[], int]
    store_age_ms: Callable[[], float | None]
    cpu_ms: Callable[[], float]
    now_ms: Callable[[], float]


class ResourceMonitor:
    """Samples periodically and writes a line each period."""

    def __init__(self, inputs: ResourceInputs, telemetry: Telemetry) -> None:
        self._inputs = inputs
        self._telemetry = telemetry
        self._begin()

    async def run(self) -> None:
        """Sample until cancelled."""
        self._begin()
        while True:
            due_at_ms = self._inputs.now_ms() + SAMPLE_PERIOD_MS
            await asyncio.sleep(SAMPLE_PERIOD_MS / 1000.0)
            self.sample(due_at_ms)

    def sample(self, due_at_ms: float) -> None:
        """Note how late the loop is for a timer that was due at ``due_at_ms``."""
        now_ms = self._inputs.now_ms()
        lag_ms = max(0.0, now_ms - due_at_ms)
        self._telemetry.metrics.timing(LOOP_LAG_MS, lag_ms)
        self._worst_lag_ms = max(self._worst_lag_ms, lag_ms)
        if now_ms - self._began_at_ms >= REPORT_PERIOD_MS:
            self._report(now_ms)
            self._begin()

    def _begin(self) -> None:
        self._began_at_ms = self._inputs.now_ms()
        self._cpu_ms = self._inputs.cpu_ms()
        self._traffic = self._inputs.traffic()
        self._worst_lag_ms = 0.0

    def _report(self, now_ms: float) -> None:
        inputs = self._inputs
        period_ms = now_ms - self._began_at_ms
        passed = inputs.traffic().minus(self._traffic)
        store_age_ms = inputs.store_age_ms()
        self._count(passed, store_age_ms)
        per_s = [round(count / period_ms * 1000.0, 1) for count in passed]
        self._telemetry.log(
            events.RESOURCES_USED,
            period_ms=round(period_ms, 1),
            loop_lag_ms=round(self._worst_lag_ms, 1),
            cpu_share=round((inputs.cpu_ms() - self._cpu_ms) / period_ms, 3),
            digests_sent_per_s=per_s[0],
            digest_bytes_sent_per_s=per_s[1],
            digests_received_per_s=per_s[2],
            digest_bytes_received_per_s=per_s[3],
            n_instances=inputs.n_instances(),
            n_connections=inputs.n_connections(),
            configuration_version=inputs.configuration_version(),
            store_age_ms=store_age_ms,
        )

    def _count(self, passed: DigestTraffic, store_age_ms: float | None) -> None:
        metrics = self._telemetry.metrics
        metrics.incr(DIGESTS, passed.n_sent, label="sent")
        metrics.incr(DIGESTS, passed.n_received, label="received")
        metrics.incr(DIGEST_BYTES, passed.n_bytes_sent, label="sent")
        metrics.incr(DIGEST_BYTES, passed.n_bytes_received, label="received")
        metrics.gauge(CONFIGURATION_VERSION, self._inputs.configuration_version())
        if store_age_ms is not None:
            metrics.gauge(STORE_AGE_MS, store_age_ms)
