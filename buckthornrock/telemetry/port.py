"""Telemetry functions that the other packages use."""

from typing import NamedTuple

from .decisions import Decisions, no_decisions
from .log import Log
from .metrics import Metrics


class Telemetry(NamedTuple):
    """Log, metrics and decision records, passed to other packages together."""

    log: Log
    metrics: Metrics
    decisions: Decisions = no_decisions()
