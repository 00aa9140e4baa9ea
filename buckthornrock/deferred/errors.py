"""Failures of deferred work."""

from typing import NamedTuple

from ..errors import NotRun


class NotAccepted(NamedTuple):
    """The job could not be made durable.

    ``not_run`` is ``"unknown"`` when the key-value service gave no answer.
    """

    reason: str
    not_run: NotRun

    code = "not-accepted"


class UnknownJob(NamedTuple):
    """No such job of this client account and member exists."""

    job_id: str

    code = "unknown-job"


class JobUnreadable(NamedTuple):
    """The key-value service is unavailable; the job may well exist."""

    job_id: str

    code = "job-unreadable"
