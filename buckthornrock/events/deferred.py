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
SEGMENT_ADOPTED = Event(
    1802,
    "deferred.adopted",
    "info",
    ("segment_id", "n_jobs", "n_losses"),
    "Jobs without a holder were taken over; n_losses holders vanished before.",
)
SEGMENT_LOST = Event(
    1803,
    "deferred.lost",
    "warning",
    ("segment_id",),
    "Another instance took over jobs while this one's lease had lapsed.",
)
RUN_BROKEN = Event(
    1805,
    "deferred.run_broken",
    "error",
    ("segment_id", "index", "error_type"),
    "A job's run raised an exception; the job is tried again a few times.",
)
JOB_RETRIED = Event(
    1804,
    "deferred.retried",
    "info",
    ("segment_id", "index", "failure", "n_attempts"),
    "A run did not succeed; the job waits and runs again.",
)
