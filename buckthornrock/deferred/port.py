"""The port to submit, read and cancel deferred jobs."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from expression import Result

from .errors import ReadFailure, SubmitFailure

JobState = Literal["waiting", "running", "done", "failed", "cancelled", "expired"]


class JobSubmission(NamedTuple):
    """A deferred completion as submitted.

    Without an idempotency key (``""``), submitting again makes another job.
    """

    client_account: str
    member: str
    profile: str
    work_class: str
    body: dict
    kind: Literal["completion", "chat"]
    deadline_wall_ms: int
    idempotency_key: str


class JobView(NamedTuple):
    """A job as shown to its caller; ``answer`` is set only when it is done."""

    job_id: str
    state: JobState
    answer: dict | None
    failure_code: str


class DeferredPort(NamedTuple):
    """Functions of deferred work.

    Parameters
    ----------
    submit : callable
        ``submit(submission, wait_ms=0) -> Result[str, SubmitFailure]``; returns the job
        id once the job is durable. ``wait_ms`` is added to the submit timeout, to wait
        for the key-value service while it is down.
    read : callable
        ``read(client_account, member, job_id) -> Result[JobView, ReadFailure]``.
    cancel : callable
        ``cancel(client_account, member, job_id) -> Result[JobView, ReadFailure]``.
    """

    submit: Callable[..., Result[str, SubmitFailure]]
    read: Callable[[str, str, str], Result[JobView, ReadFailure]]
    cancel: Callable[[str, str, str], Result[JobView, ReadFailure]]
