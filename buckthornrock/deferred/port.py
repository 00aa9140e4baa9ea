"""The port through which callers submit and read deferred jobs."""

from collections.abc import Callable
from typing import Literal, NamedTuple

from expression import Result

from .errors import ReadFailure, SubmitFailure

JobState = Literal["waiting", "running", "done", "failed", "cancelled", "expired"]


class JobSubmission(NamedTuple):
    """A deferred completion as it is accepted.

    ``idempotency_key`` "" means that submitting again makes another job.
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
    """A job as its caller sees it; ``answer`` only when done."""

    job_id: str
    state: JobState
    answer: dict | None
    failure_code: str


class DeferredPort(NamedTuple):
    """Functions of deferred work.

    Parameters
    ----------
    submit : callable
        ``submit(submission, wait_ms=0) -> Result[str, SubmitFailure]``, the job id,
        once durable. ``wait_ms`` is how much longer than a commit's usual time the
        submitter waits while the key-value service is down.
    read : callable
        ``read(client_account, member, job_id) -> Result[JobView, ReadFailure]``.
    cancel : callable
        ``cancel(client_account, member, job_id) -> Result[JobView, ReadFailure]``.
    """

    submit: Callable[..., Result[str, SubmitFailure]]
    read: Callable[[str, str, str], Result[JobView, ReadFailure]]
    cancel: Callable[[str, str, str], Result[JobView, ReadFailure]]
