"""Holds what is known of each upstream and hands out views of the eligible ones."""

import threading
from collections.abc import Callable

from expression import Result

from ..conf.settings import UpstreamSettings
from ..upstreams.engine_messages import LoadReport
from .views import EngineView, ServiceView


class _Record:
    """Mutable state of one upstream."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self.report: LoadReport | None = None
        self.report_at_ms = 0.0
        self.n_own_requests = 0
        self.is_leaving = False
        self.health = 1.0


class Fleet:
    """The upstreams of the settings, with their last load reports.

    Parameters
    ----------
    servers : tuple of UpstreamSettings
        All upstreams.
    now_ms : callable
        Monotonic clock.
    """

    def __init__(
        self, servers: tuple[UpstreamSettings, ...], now_ms: Callable[[], float]
    ) -> None:
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._records = {server.id: _Record(server) for server in servers}

    def engines(self, model: str) -> tuple[EngineView, ...]:
        """Return the engines that serve ``model`` and may get new work."""
        with self._lock:
            records = [r for r in self._records.values() if _serves(r, model)]
            return tuple(self._engine_view(record) for record in records)

    def services(self, service: str) -> tuple[ServiceView, ...]:
        """Return the servers of ``service`` that may get new work."""
        with self._lock:
            return tuple(
                _service_view(record)
                for record in self._records.values()
                if record.settings.service == service and not record.is_leaving
            )

    def poll(self, load: Callable[[str], Result[LoadReport, object]]) -> None:
        """Ask every engine for its load report."""
        for record in list(self._records.values()):
            if record.settings.kind != "engine":
                continue
            report = load(record.settings.address)
            with self._lock:
                record.report = report.default_value(None)
                record.report_at_ms = self._now_ms()

    def set_leaving(self, upstream_id: str, is_leaving: bool) -> None:
        """Note that an upstream leaves, or is back."""
        with self._lock:
            if upstream_id in self._records:
                self._records[upstream_id].is_leaving = is_leaving

    def begin(self, upstream_id: str) -> None:
        """Count a request that is sent to the upstream."""
        with self._lock:
            self._records[upstream_id].n_own_requests += 1

    def end(self, upstream_id: str) -> None:
        """Count a request that ended at the upstream."""
        with self._lock:
            self._records[upstream_id].n_own_requests -= 1

    def _engine_view(self, record: _Record) -> EngineView:
        report = record.report
        return EngineView(
            upstream_id=record.settings.id,
            address=record.settings.address,
            failure_domain=record.settings.failure_domain,
            incarnation=report.incarnation,
            weights_version=report.weights_version,
            models=report.models,
            adapters=report.adapters,
            n_running=report.n_running,
            n_waiting=report.n_waiting,
            n_waiting_tokens=report.n_waiting_tokens,
            n_own_requests=record.n_own_requests,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            inter_token_ms=report.inter_token_ms,
            report_age_ms=self._now_ms() - record.report_at_ms,
            health=record.health,
        )


def _serves(record: _Record, model: str) -> bool:
    if record.is_leaving or record.report is None:
        return False
    return record.report.state == "live" and model in record.report.models


def _service_view(record: _Record) -> ServiceView:
    return ServiceView(
        upstream_id=record.settings.id,
        service=record.settings.service,
        address=record.settings.address,
        failure_domain=record.settings.failure_domain,
        n_own_requests=record.n_own_requests,
        health=record.health,
    )
