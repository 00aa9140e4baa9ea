"""Log events of calls with idempotency keys (numbers 1900 to 1999)."""

from .event import Event

OUTCOME_UNKNOWN = Event(
    1900,
    "idempotency.outcome_unknown",
    "warning",
    ("request_id", "client_account", "service", "reason"),
    "It is unknown whether a call with an idempotency key has run; it is not retried.",
)
