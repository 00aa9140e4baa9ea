"""Clients of the platform: its key-value service and its instance list."""

from .kv_client import open_kv
from .kv_port import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitOutcome,
    CommitUnknown,
    Compare,
    Delete,
    KvEntry,
    KvPort,
    Put,
    Transaction,
    WatchBatch,
)
from .lease import LeaseHolder

__all__ = [
    "CommitConflict",
    "CommitDone",
    "CommitNotDone",
    "CommitOutcome",
    "CommitUnknown",
    "Compare",
    "Delete",
    "KvEntry",
    "KvPort",
    "LeaseHolder",
    "Put",
    "Transaction",
    "WatchBatch",
    "open_kv",
]
