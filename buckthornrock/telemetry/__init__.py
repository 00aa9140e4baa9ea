"""Logs, metrics, decision records and the report on service-level burn rates."""

from .log import Log, open_log
from .metrics import Metrics, open_metrics
from .port import Telemetry

__all__ = ["Log", "Metrics", "Telemetry", "open_log", "open_metrics"]
