"""Failures of the rollout."""

from typing import NamedTuple


class RecordUnreadable(NamedTuple):
    """The record of wanted versions was written by another program or release."""

    reason: str

    code = "record-unreadable"
