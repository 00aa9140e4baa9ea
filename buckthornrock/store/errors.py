"""Failures of calls to the platform."""

from typing import NamedTuple


class KvUnavailable(NamedTuple):
    """The key-value service did not answer.

    Used for calls that leave no effect to resolve, such as reads.
    """

    reason: str

    code = "kv-unavailable"


class LeaseGone(NamedTuple):
    """The lease no longer exists."""

    lease_id: int

    code = "lease-gone"


class ListUnavailable(NamedTuple):
    """The platform's instance list could not be read."""

    reason: str

    code = "instance-list-unavailable"


class HistoryGone(NamedTuple):
    """The store no longer has the history of changes after the revision."""

    revision: int

    code = "kv-history-gone"
