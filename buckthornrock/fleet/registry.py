"""Upstream registry: keeps the state of each upstream and lists the eligible ones."""

import random
import threading
from collections.abc import Callable, Iterable

from ..conf.settings import UpstreamSettings
from ..events import fleet as events
from ..telemetry import Log
from ..upstreams.engine_messages import LoadReport
from ..upstreams.errors import AttemptFailed
from .health import HealthTracker
from .leaving import LeavingTracker, Source
from .views import EngineView, ServiceView, UpstreamStatus


class _Record:
    """Mutable state of one upstream."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self.report: LoadReport | None = None
        self.report_at_ms = 0.0
        self.n_own_requests = 0


class Fleet:
    """Load reports, health and leaving state of the upstreams in the settings.

    Parameters
    ----------
    servers : tuple of UpstreamSettings
        All upstreams.
    now_ms : callable
        Monotonic clock.
    log : callable
        Event log.
    rng : random.Random
        Source of the jitter of ejection times.
    """

    def __init__(
        self,
        servers: tuple[UpstreamSettings, ...],
        now_ms: Callable[[], float],
        log: Log,
        rng: random.Random,
    ) -> None:
        self._now_ms = now_ms
        self._log = log
        self._lock = threading.Lock()
        self._records = {server.id: _Record(server) for server in servers}
        self._health = {
            kind: HealthTracker(tuple(s.id for s in servers if s.kind == kind), rng)
            for kind in ("engine", "service")
        }
        self._leaving = LeavingTracker()

    def engine_settings(self) -> tuple[UpstreamSettings, ...]:
        """Return the settings of all engines, sorted by id."""
        settings = (record.settings for record in self._records.values())
        return tuple(sorted(s for s in settings if s.kind == "engine"))

    def statuses(self) -> tuple[UpstreamStatus, ...]:
        """Return the status of every upstream, including those that get no work."""
        now_ms = self._now_ms()
        with self._lock:
            return tuple(self._status(r, now_ms) for r in self._records.values())

    def engines(self, model: str, adapter: str = "") -> tuple[EngineView, ...]:
        """Return the engines that serve ``model`` and may get new work.

        An engine that has not loaded ``adapter`` is left out, because it would answer
        with the base model.
        """
        now_ms = self._now_ms()
        with self._lock:
            records = [
                r for r in self._records.values() if self._serves(r, model, adapter)
            ]
            views = [self._engine_view(record, now_ms) for record in records]
        return tuple(view for view in views if view.health > 0.0)

    def services(self, service: str) -> tuple[ServiceView, ...]:
        """Return the servers of ``service`` that may get new work."""
        now_ms = self._now_ms()
        with self._lock:
            records = [
                record
                for record in self._records.values()
                if record.settings.service == service
                and not self._leaving.is_leaving(record.settings.id, now_ms)
            ]
            views = [self._service_view(record, now_ms) for record in records]
        # If all are ejected, trying one is better than refusing the request.
        return tuple(v for v in views if v.health > 0.0) or tuple(views)

    def note_report(self, upstream_id: str, report: LoadReport) -> None:
        """Record an engine's load report."""
        now_ms = self._now_ms()
        with self._lock:
            record = self._records[upstream_id]
            record.report = report
            record.report_at_ms = now_ms
            health = self._health["engine"]
            is_cold = health.note_poll(upstream_id, report.incarnation, now_ms)
            if is_cold:
                self._leaving.forget_peers(upstream_id)
        self.set_leaving(upstream_id, report.state == "leaving", "report")
        if is_cold:
            self._log(
                events.COLD_START,
                upstream_id=upstream_id,
                incarnation=report.incarnation,
            )

    def note_failed_poll(self, upstream_id: str, failure: AttemptFailed) -> None:
        """Record a load poll that got no response."""
        is_refused = failure.not_run == "true"
        with self._lock:
            health = self._health["engine"]
            is_down = health.note_failed_poll(upstream_id, is_refused)
        if is_down:
            self._log(
                events.UPSTREAM_DOWN, upstream_id=upstream_id, reason=failure.reason
            )

    def note_outcome(self, upstream_id: str, is_ok: bool) -> None:
        """Record the outcome of a request at the upstream."""
        now_ms = self._now_ms()
        with self._lock:
            health = self._health[self._records[upstream_id].settings.kind]
            if is_ok:
                health.note_success(upstream_id, now_ms)
                return
            is_ejected = health.note_failure(upstream_id, now_ms)
        if is_ejected:
            self._log(events.UPSTREAM_EJECTED, upstream_id=upstream_id)

    def set_leaving(
        self, upstream_id: str, is_leaving: bool, source: Source = "list"
    ) -> None:
        """Record that an upstream is leaving, or no longer is."""
        if upstream_id not in self._records:
            return
        with self._lock:
            was_leaving = self._leaving.is_leaving(upstream_id, self._now_ms())
            self._leaving.note(source, upstream_id, is_leaving)
        if is_leaving and not was_leaving:
            self._log(events.UPSTREAM_LEAVING, upstream_id=upstream_id, source=source)

    def note_leaving_by_peer(self, upstream_ids: Iterable[str]) -> None:
        """Record upstreams that a peer knows directly to be leaving."""
        known = [id_ for id_ in upstream_ids if id_ in self._records]
        with self._lock:
            self._leaving.note_peer(known, self._now_ms())

    def leaving_first_hand(self) -> tuple[str, ...]:
        """Return the upstreams that the list or their own reports name as leaving."""
        with self._lock:
            return self._leaving.directly_reported()

    def begin(self, upstream_id: str) -> None:
        """Count a request of this instance as in flight at the upstream."""
        with self._lock:
            self._records[upstream_id].n_own_requests += 1

    def end(self, upstream_id: str) -> None:
        """Stop counting a request as in flight at the upstream."""
        with self._lock:
            self._records[upstream_id].n_own_requests -= 1

    def _serves(self, record: _Record, model: str, adapter: str) -> bool:
        report = record.report
        if report is None or report.state != "live" or model not in report.models:
            return False
        if adapter and adapter not in report.adapters:
            return False
        return not self._leaving.is_leaving(record.settings.id, self._now_ms())

    def _status(self, record: _Record, now_ms: float) -> UpstreamStatus:
        settings = record.settings
        return UpstreamStatus(
            upstream_id=settings.id,
            kind=settings.kind,
            failure_domain=settings.failure_domain,
            address=settings.address,
            report=record.report,
            report_age_ms=now_ms - record.report_at_ms,
            n_own_requests=record.n_own_requests,
            health=self._health[settings.kind].health(settings.id, now_ms),
            is_leaving=self._leaving.is_leaving(settings.id, now_ms),
        )

    def _engine_view(self, record: _Record, now_ms: float) -> EngineView:
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
            report_age_ms=now_ms - record.report_at_ms,
            health=self._health["engine"].health(record.settings.id, now_ms),
        )

    def _service_view(self, record: _Record, now_ms: float) -> ServiceView:
        return ServiceView(
            upstream_id=record.settings.id,
            service=record.settings.service,
            address=record.settings.address,
            failure_domain=record.settings.failure_domain,
            n_own_requests=record.n_own_requests,
            health=self._health["service"].health(record.settings.id, now_ms),
        )
