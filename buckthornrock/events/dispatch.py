"""Log events of attempts, streams and retries (numbers 1600 to 1699)."""

from .event import Event

ATTEMPT_FAILED = Event(
    1600,
    "dispatch.attempt_failed",
    "warning",
    ("request_id", "upstream_id", "failure", "n_tokens_sent"),
    "An attempt at an upstream failed; the request may continue at another upstream.",
)
