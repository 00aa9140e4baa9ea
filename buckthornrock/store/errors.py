"""Failures of calls to the platform."""

from typing import NamedTuple


class KvUnavailable(NamedTuple):
    """The key-value service did not answer; a read has no effect to worry about."""

    reason: str

    code = "kv-unavailable"


class LeaseGone(NamedTuple):
    """The lease does not exist any more."""

    lease_id: int

    code = "lease-gone"


class ListUnavailable(NamedTuple):
    """The platform's instance list could not be read."""

    reason: str

    code = "instance-list-unavailable"


class HistoryGone(NamedTuple):
    """The store no longer knows what changed after the revision."""

    revision: int

    code = "kv-history-gone"
