"""Failures of deferred work."""

from typing import NamedTuple

from ..errors import NotRun


class NotAccepted(NamedTuple):
    """The job could not be made durable.

    ``not_run`` is ``"unknown"`` when the key-value service gave no answer: the job
    may come to be. Submitting again with the same idempotency key settles it.
    """

    reason: str
    not_run: NotRun
    retry_after_ms: int = 1_000

    code = "not-accepted"


class KeyReused(NamedTuple):
    """The idempotency key already stands for a job with another body."""

    job_id: str

    code = "key-reused"


class NoTrustedProfile(NamedTuple):
    """No accepted profile is known yet, only the settings' start profile."""

    profile: str
    retry_after_ms: int = 1_000

    code = "no-trusted-profile"


class UnknownJob(NamedTuple):
    """No such job of this client account and member exists."""

    job_id: str

    code = "unknown-job"


class JobUnreadable(NamedTuple):
    """The key-value service is unavailable; the job may well exist."""

    job_id: str
    retry_after_ms: int = 1_000

    code = "job-unreadable"


class PromptGone(NamedTuple):
    """The stored prompt was deleted, so the job can't run any more."""

    code = "prompt-gone"


class RunBroken(NamedTuple):
    """A run ended with an exception; the log names its type."""

    code = "run-broken"


SubmitFailure = NotAccepted | KeyReused | NoTrustedProfile
ReadFailure = UnknownJob | JobUnreadable
