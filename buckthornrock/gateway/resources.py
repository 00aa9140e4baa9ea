"""Measures an instance's event loop lag, CPU time and digest traffic."""

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
        """Return the traffic since ``other`` was taken."""
        return DigestTraffic(*(a - b for a, b in zip(self, other, strict=True)))


class ResourceInputs(NamedTuple):
    """Functions that read the reported figures.

    Parameters
    ----------
    traffic : callable
        Digests sent and received so far.
    n_instances : callable
        Known instances, see ``PeerExchange.n_instances``.
    n_connections : callable
        Clients' open connections.
    configuration_version : callable
        Version of the configuration in force.
    store_age_ms : callable
        Time since the store last confirmed the known state, None before it did.
    cpu_ms : callable
        CPU time of the process.
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
    """Samples the event loop's lag, and logs and counts resource use each period."""

    def __init__(self, inputs: ResourceInputs, telemetry: Telemetry) -> None:
        self._inputs = inputs
        self._telemetry = telemetry
        self._start_period()

    async def run(self) -> None:
        """Sample until cancelled."""
        self._start_period()
        while True:
            due_at_ms = self._inputs.now_ms() + SAMPLE_PERIOD_MS
            await asyncio.sleep(SAMPLE_PERIOD_MS / 1000.0)
            self.sample(due_at_ms)

    def sample(self, due_at_ms: float) -> None:
        """Record how late a timer that was due at ``due_at_ms`` fires."""
        now_ms = self._inputs.now_ms()
        lag_ms = max(0.0, now_ms - due_at_ms)
        self._telemetry.metrics.timing(LOOP_LAG_MS, lag_ms)
        self._max_lag_ms = max(self._max_lag_ms, lag_ms)
        if now_ms - self._period_start_ms >= REPORT_PERIOD_MS:
            self._report(now_ms)
            self._start_period()

    def _start_period(self) -> None:
        self._period_start_ms = self._inputs.now_ms()
        self._start_cpu_ms = self._inputs.cpu_ms()
        self._start_traffic = self._inputs.traffic()
        self._max_lag_ms = 0.0

    def _report(self, now_ms: float) -> None:
        inputs = self._inputs
        period_ms = now_ms - self._period_start_ms
        traffic = inputs.traffic().minus(self._start_traffic)
        store_age_ms = inputs.store_age_ms()
        self._record_metrics(traffic, store_age_ms)
        per_s = [round(count / period_ms * 1000.0, 1) for count in traffic]
        self._telemetry.log(
            events.RESOURCES_USED,
            period_ms=round(period_ms, 1),
            loop_lag_ms=round(self._max_lag_ms, 1),
            cpu_share=round((inputs.cpu_ms() - self._start_cpu_ms) / period_ms, 3),
            digests_sent_per_s=per_s[0],
            digest_bytes_sent_per_s=per_s[1],
            digests_received_per_s=per_s[2],
            digest_bytes_received_per_s=per_s[3],
            n_instances=inputs.n_instances(),
            n_connections=inputs.n_connections(),
            configuration_version=inputs.configuration_version(),
            store_age_ms=store_age_ms,
        )

    def _record_metrics(
        self, traffic: DigestTraffic, store_age_ms: float | None
    ) -> None:
        metrics = self._telemetry.metrics
        metrics.incr(DIGESTS, traffic.n_sent, label="sent")
        metrics.incr(DIGESTS, traffic.n_received, label="received")
        metrics.incr(DIGEST_BYTES, traffic.n_bytes_sent, label="sent")
        metrics.incr(DIGEST_BYTES, traffic.n_bytes_received, label="received")
        metrics.gauge(CONFIGURATION_VERSION, self._inputs.configuration_version())
        if store_age_ms is not None:
            metrics.gauge(STORE_AGE_MS, store_age_ms)
