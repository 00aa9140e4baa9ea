"""Failures of deferred work."""

from typing import NamedTuple

from ..errors import NotRun


class NotAccepted(NamedTuple):
    """The job could not be made durable.

    ``not_run`` is ``"unknown"`` when the key-value service gave no response: the job
    may have been accepted. Submitting again with the same idempotency key settles it.
    """

    reason: str
    not_run: NotRun
    retry_after_ms: int = 1_000

    code = "not-accepted"


class KeyReused(NamedTuple):
    """The idempotency key was already used for a job with another body."""

    job_id: str

    code = "key-reused"


class NoTrustedProfile(NamedTuple):
    """Only the start profile from the settings is known, no accepted one yet."""

    profile: str
    retry_after_ms: int = 1_000

    code = "no-trusted-profile"


class UnknownJob(NamedTuple):
    """The client account and member have no such job."""

    job_id: str

    code = "unknown-job"


class JobUnreadable(NamedTuple):
    """The key-value service is unavailable; the job may exist."""

    job_id: str
    retry_after_ms: int = 1_000

    code = "job-unreadable"


class PromptGone(NamedTuple):
    """The stored prompt was deleted, so the job can no longer run."""

    code = "prompt-gone"


class RunBroken(NamedTuple):
    """A run raised an exception; the log has its type."""

    code = "run-broken"


SubmitFailure = NotAccepted | KeyReused | NoTrustedProfile
ReadFailure = UnknownJob | JobUnreadable
