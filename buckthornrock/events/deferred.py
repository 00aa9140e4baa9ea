"""Log events of deferred work (numbers 1800 to 1899)."""

from .event import Event

JOB_ACCEPTED = Event(
    1800,
    "deferred.accepted",
    "info",
    ("job_id", "client_account"),
    "A deferred job was stored durably and accepted.",
)
JOB_FINISHED = Event(
    1801,
    "deferred.finished",
    "info",
    ("job_id", "client_account", "state"),
    "A deferred job ended with its result or with its final failure.",
)
SEGMENT_ADOPTED = Event(
    1802,
    "deferred.adopted",
    "info",
    ("segment_id", "n_jobs", "n_losses"),
    "This instance took over a segment of jobs that no instance held a lease on; "
    "n_losses earlier lease holders failed.",
)
SEGMENT_LOST = Event(
    1803,
    "deferred.lost",
    "warning",
    ("segment_id",),
    "Another instance took over a segment of jobs after this one's lease had expired.",
)
RUN_BROKEN = Event(
    1805,
    "deferred.run_broken",
    "error",
    ("segment_id", "index", "error_type"),
    "The run of a job raised an exception; the job is retried a limited number of "
    "times.",
)
JOB_RETRIED = Event(
    1804,
    "deferred.retried",
    "info",
    ("segment_id", "index", "failure", "n_attempts"),
    "A run of a job failed; the job is queued again and retried.",
)
