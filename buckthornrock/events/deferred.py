"""Log events of deferred work (numbers 1800 to 1899)."""

from .event import Event

JOB_ACCEPTED = Event(
    1800,
    "deferred.accepted",
    "info",
    ("job_id", "client_account"),
    "A deferred job is durable.",
)
JOB_FINISHED = Event(
    1801,
    "deferred.finished",
    "info",
    ("job_id", "client_account", "state"),
    "A deferred job has its result or its final failure.",
)
