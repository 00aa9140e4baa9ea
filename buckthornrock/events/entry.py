"""Log events of the client and operator HTTP ports (numbers 1100 to 1199)."""

from .event import Event

REQUEST_REFUSED = Event(
    1100,
    "entry.refused",
    "info",
    ("request_id", "client_account", "failure", "not_run"),
    "A request was answered with a problem document.",
)
REQUEST_SERVED = Event(
    1101,
    "entry.served",
    "info",
    ("request_id", "client_account", "work_class", "n_tokens", "ttft_ms"),
    "A completion was delivered to the client in full.",
)
HANDLER_FAILED = Event(
    1102,
    "entry.handler_failed",
    "error",
    ("path", "error_type", "reason"),
    "A handler raised an exception; the client got an internal-error problem document.",
)
