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
CLIENT_LIMIT_REACHED = Event(
    1103,
    "entry.client_limit_reached",
    "warning",
    ("port", "limit", "n_clients"),
    "Clients were refused or closed because of a limit on what they may make the "
    "instance hold. A line comes at most every 10 s for each port and limit; "
    "n_clients counts those since the last one.",
)
CONNECTIONS_CAPPED = Event(
    1104,
    "entry.connections_capped",
    "warning",
    ("port", "n_wanted", "n_allowed"),
    "The process may open too few descriptors for max_connections of the port; fewer "
    "connections are allowed.",
)
SERVER_ERROR = Event(
    1105,
    "entry.server_error",
    "error",
    ("port", "reason", "n_left_out"),
    "The HTTP server of a port met an error. A line comes at most every 10 s; "
    "n_left_out counts those that were not written since the last one.",
)
REFUSALS_LEFT_OUT = Event(
    1106,
    "entry.refusals_left_out",
    "warning",
    ("n_lines",),
    "Refusals without an account, or of unreadable bodies, came faster than 20 a "
    "second; the lines entry.refused of the others were not written.",
)
