"""What the rest of the program needs from telemetry."""

from typing import NamedTuple

from .log import Log
from .metrics import Metrics


class Telemetry(NamedTuple):
    """Log and metrics, passed to every part together."""

    log: Log
    metrics: Metrics
