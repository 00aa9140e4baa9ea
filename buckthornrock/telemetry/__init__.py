"""Logs, metrics, decision records and the service-level burn report."""

from .log import Log, open_log
from .metrics import Metrics, open_metrics
from .port import Telemetry

__all__ = ["Log", "Metrics", "Telemetry", "open_log", "open_metrics"]
