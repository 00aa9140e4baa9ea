"""Stores the placement document in the key-value service.

Like a profile, it is changed by compare-and-swap on its version.
"""

import threading
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..errors import NotRun
from ..store import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitOutcome,
    Compare,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from ..store.errors import KvUnavailable
from .placement_document import Placement, empty_placement

KEY = "placement"


class PlacementRecord(msgspec.Struct, frozen=True):
    """One accepted version; version 0 is the empty document before the first."""

    version: int
    placement: Placement


class PlacementConflict(NamedTuple):
    """Another change came first, so the expected version is not the current one.

    Nothing was accepted.
    """

    expected_version: int
    found_version: int

    code = "placement-conflict"


class PlacementUndecided(NamedTuple):
    """The key-value service gave no answer.

    ``not_run`` tells whether the change is known not to have been accepted.
    """

    reason: str
    not_run: NotRun

    code = "placement-undecided"


ApplyFailure = PlacementConflict | PlacementUndecided
_decoder = msgspec.json.Decoder(PlacementRecord)


class PlacementStore:
    """Caches the newest known version, which never goes back.

    Parameters
    ----------
    kv : KvPort
        Stores the document.
    """

    def __init__(self, kv: KvPort) -> None:
        self._kv = kv
        self._lock = threading.Lock()
        self._record = PlacementRecord(0, empty_placement())

    def current(self) -> PlacementRecord:
        """Return the newest known version."""
        with self._lock:
            return self._record

    def refresh(self) -> None:
        """Read the document; restore it if the service holds an older version.

        That happens when the service was restored from a backup.
        """
        entry = self._read()
        if entry.is_ok() and _version_of(entry.ok) < self.current().version:
            self._commit(self.current(), entry.ok)

    def apply(
        self, placement: Placement, expected_version: int
    ) -> Result[PlacementRecord, ApplyFailure]:
        """Accept ``placement`` as the version after ``expected_version``."""
        entry = self._read()
        if entry.is_error():
            return Error(PlacementUndecided(entry.error.reason, "true"))
        # The entry may hold an older version, if the service was restored from a
        # backup, so the newest known version is compared.
        found_version = self.current().version
        if found_version != expected_version:
            return Error(PlacementConflict(expected_version, found_version))
        record = PlacementRecord(expected_version + 1, placement)
        outcome = self._commit(record, entry.ok)
        match outcome:
            case CommitDone():
                self._adopt(record)
                return Ok(record)
            case CommitConflict(entries):
                found_version = _version_of(next(iter(entries), None))
                return Error(PlacementConflict(expected_version, found_version))
            case CommitNotDone(reason):
                return Error(PlacementUndecided(reason, "true"))
        return Error(PlacementUndecided(outcome.reason, "unknown"))

    def _read(self) -> Result[KvEntry | None, KvUnavailable]:
        entry = self._kv.get(KEY)
        if entry.is_ok() and entry.ok is not None:
            self._adopt(_decoder.decode(entry.ok.value))
        return entry

    def _commit(
        self, record: PlacementRecord, replaced: KvEntry | None
    ) -> CommitOutcome:
        compare = Compare(KEY, replaced.mod_revision if replaced else 0)
        put = Put(KEY, msgspec.json.encode(record))
        return self._kv.commit(Transaction((compare,), (put,)))

    def _adopt(self, record: PlacementRecord) -> None:
        with self._lock:
            # Of two records of the same version, the one that was read last wins,
            # since the service decides which of them is in force.
            if record.version >= self._record.version:
                self._record = record


def _version_of(entry: KvEntry | None) -> int:
    return _decoder.decode(entry.value).version if entry is not None else 0
