"""Log events of calls that may not be repeated (numbers 1900 to 1999)."""

from .event import Event

OUTCOME_UNKNOWN = Event(
    1900,
    "idempotency.outcome_unknown",
    "warning",
    ("request_id", "client_account", "service", "reason"),
    "A call with an idempotency key may or may not have run; it is not sent again.",
)
