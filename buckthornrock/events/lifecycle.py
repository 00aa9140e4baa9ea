"""Log events of starting, stopping and settings (numbers 1000 to 1099)."""

from .event import Event

INSTANCE_STARTED = Event(
    1000,
    "lifecycle.started",
    "info",
    ("instance_id", "failure_domain", "port", "duration_ms"),
    "The instance accepts connections from clients.",
)
INSTANCE_STOPPING = Event(
    1001,
    "lifecycle.stopping",
    "info",
    ("instance_id", "n_open_requests"),
    "A graceful shutdown began; requests in flight are completed first.",
)
INSTANCE_STOPPED = Event(
    1002,
    "lifecycle.stopped",
    "info",
    ("instance_id", "n_cut_requests", "duration_ms"),
    "The instance stopped.",
)
STEP_FAILED = Event(
    1003,
    "lifecycle.step_failed",
    "error",
    ("actor", "error_type", "reason"),
    "A periodic step raised an exception; it runs again after its period.",
)
LINES_LEFT_OUT = Event(
    1004,
    "lifecycle.log_lines_left_out",
    "warning",
    ("n_lines",),
    "Log lines were dropped because the reader of the log was too slow; lines of level "
    "info are dropped first.",
)
