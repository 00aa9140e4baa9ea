"""Accepts changes of profiles by compare-and-swap in the key-value service."""

from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from ..events import profiles as events
from ..store import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitUnknown,
    Compare,
    Delete,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from ..telemetry import Telemetry
from .checks import check_profile
from .diff import differing_paths
from .document import Profile
from .errors import (
    ApplyFailure,
    HistoryUnreadable,
    InvalidProfile,
    ProfileConflict,
    ProfileUndecided,
    RollbackFailure,
    UnknownVersion,
)
from .port import ProfileRecord
from .stored import (
    HISTORY_PREFIX,
    N_HISTORY_VERSIONS,
    decode_entry,
    encode_record,
    history_key_of,
    key_of,
)
from .table import ProfileTable, order_of

#: ``fetch_from_peers(name)`` asks a few peers for their version, so that the instance
#: notices when the key-value service has lost a newer version.
FetchFromPeers = Callable[[str], None]


class Acceptance:
    """Writes profiles; ``publish`` sends an accepted record to other instances."""

    def __init__(
        self,
        kv: KvPort,
        table: ProfileTable,
        wall_ms: Callable[[], int],
        fetch_from_peers: FetchFromPeers,
        publish: Callable[[ProfileRecord], None],
        telemetry: Telemetry,
    ) -> None:
        self._kv = kv
        self._table = table
        self._wall_ms = wall_ms
        self._fetch_from_peers = fetch_from_peers
        self._publish = publish
        self._telemetry = telemetry

    def apply(
        self, name: str, profile: Profile, expected_version: int, author: str = ""
    ) -> Result[ProfileRecord, ApplyFailure]:
        """Accept ``profile`` as the version after ``expected_version``."""
        problems = check_profile(name, profile)
        if problems:
            return Error(InvalidProfile(tuple(problems)))
        self._fetch_from_peers(name)
        entry = self._read_reconciled(name)
        if entry.is_error():
            return entry
        record = self._make_record(name, profile, expected_version + 1, author)
        found = decode_entry(entry.ok, name) if entry.ok else Ok(None)
        if found.is_error():
            return found
        # The version of the entry is not used here: the service may have lost a newer
        # version, and writing that version back may have failed.
        known = self._accepted_record(name)
        if known is None and expected_version:
            return Error(ProfileConflict(name, expected_version, 0))
        if known is not None and known.version != expected_version:
            return self._conflict_unless_same(record, known)
        return self._commit(record, entry.ok.mod_revision if entry.ok else 0)

    def rollback(
        self, name: str, version: int, expected_version: int, author: str
    ) -> Result[ProfileRecord, RollbackFailure]:
        """Accept the content of an older version as a new version."""
        entry = self._kv.get(history_key_of(name, version))
        if entry.is_error():
            return Error(HistoryUnreadable(name, entry.error.reason))
        if entry.ok is None:
            return Error(UnknownVersion(name, version))
        old = decode_entry(entry.ok, name)
        return old.bind(
            lambda record: self.apply(name, record.profile, expected_version, author)
        )

    def history(self, name: str) -> Result[list[ProfileRecord], HistoryUnreadable]:
        """Return the versions in the history, newest first."""
        entries = self._kv.get_prefix(f"{HISTORY_PREFIX}{name}/")
        if entries.is_error():
            return Error(HistoryUnreadable(name, entries.error.reason))
        records = [decode_entry(entry, name) for entry in reversed(entries.ok)]
        return Ok([record.ok for record in records if record.is_ok()])

    def reconcile(self, name: str, entry: KvEntry | None) -> bool:
        """Adopt the version in the service, or write back a newer one that it lost.

        Returns
        -------
        bool
            Whether an accepted record replaced an older or missing value.
        """
        read = decode_entry(entry, name) if entry else Ok(None)
        if read.is_error():
            reason = read.error.reason
            self._telemetry.log(events.UNREADABLE, name=name, reason=reason)
            return False
        stored = read.ok
        if stored:
            self._offer(stored)
        known = self._accepted_record(name)
        if known is None:
            return False
        if stored is not None and order_of(stored) >= order_of(known):
            return False
        revision = entry.mod_revision if entry else 0
        outcome = self._kv.commit(_transaction(known, revision))
        is_restored = isinstance(outcome, CommitDone)
        self._telemetry.log(
            events.KV_OLDER,
            name=name,
            version=known.version,
            kv_version=stored.version if stored else 0,
            is_restored=is_restored,
        )
        return is_restored

    def _accepted_record(self, name: str) -> ProfileRecord | None:
        record = self._table.get(name)
        return None if record is None or record.trust == "start" else record

    def _make_record(
        self, name: str, profile: Profile, version: int, author: str
    ) -> ProfileRecord:
        raw = msgspec.json.encode(profile, order="deterministic")
        return ProfileRecord(
            name=name,
            version=version,
            profile=msgspec.json.decode(raw, type=Profile),
            trust="kv",
            author=author,
            accepted_wall_ms=self._wall_ms(),
            raw=raw,
        )

    def _read_reconciled(self, name: str) -> Result[KvEntry | None, ProfileUndecided]:
        """Read the entry, after writing back a version that the service lost."""
        entry = self._kv.get(key_of(name))
        if entry.is_ok() and self.reconcile(name, entry.ok):
            entry = self._kv.get(key_of(name))
        return entry.map_error(lambda e: ProfileUndecided(name, e.reason, "true"))

    def _commit(
        self, record: ProfileRecord, revision: int
    ) -> Result[ProfileRecord, ApplyFailure]:
        outcome = self._kv.commit(_transaction(record, revision))
        match outcome:
            case CommitDone():
                return self._accept(record)
            case CommitNotDone(reason):
                return Error(ProfileUndecided(record.name, reason, "true"))
            case CommitConflict(entries):
                return self._on_conflict(record, entries)
        return self._resolve_unknown_commit(record, outcome)

    def _accept(self, record: ProfileRecord) -> Result[ProfileRecord, ApplyFailure]:
        self._offer(record)
        self._telemetry.log(
            events.ACCEPTED,
            name=record.name,
            version=record.version,
            author=record.author,
        )
        return Ok(record)

    def _offer(self, record: ProfileRecord) -> None:
        if self._table.offer(record):
            self._publish(record)

    def _on_conflict(
        self, record: ProfileRecord, entries: tuple[KvEntry, ...]
    ) -> Result[ProfileRecord, ApplyFailure]:
        if not entries:
            return Error(ProfileConflict(record.name, record.version - 1, 0))
        winner = decode_entry(entries[0], record.name)
        if winner.is_error():
            return winner
        self._offer(winner.ok)
        return self._conflict_unless_same(record, winner.ok)

    def _resolve_unknown_commit(
        self, record: ProfileRecord, outcome: CommitUnknown
    ) -> Result[ProfileRecord, ApplyFailure]:
        """Find out whether a commit with an unknown outcome took effect.

        Every accepted change raises the version by one. The history entry of this
        version therefore decides: if another record has the version, this commit never
        took effect.
        """
        key = history_key_of(record.name, record.version)
        entry = self._kv.get(key)
        if entry.is_error() or entry.ok is None:
            return Error(ProfileUndecided(record.name, outcome.reason, "unknown"))
        if entry.ok.write_id == outcome.write_id:
            return self._accept(record)
        return self._on_conflict(record, (entry.ok,))

    def _conflict_unless_same(
        self, record: ProfileRecord, found: ProfileRecord
    ) -> Result[ProfileRecord, ApplyFailure]:
        is_same = (found.version, found.author, found.profile) == (
            record.version,
            record.author,
            record.profile,
        )
        if is_same:
            # The client retried the same change after an unknown outcome.
            return Ok(found)
        return Error(
            ProfileConflict(
                record.name,
                record.version - 1,
                found.version,
                found.author,
                found.accepted_wall_ms,
                differing_paths(record.profile, found.profile),
            )
        )


def _transaction(record: ProfileRecord, revision: int) -> Transaction:
    key = key_of(record.name)
    value = encode_record(record)
    writes: list[Put | Delete] = [
        Put(key, value),
        Put(history_key_of(record.name, record.version), value),
    ]
    if record.version > N_HISTORY_VERSIONS:
        oldest = record.version - N_HISTORY_VERSIONS
        writes.append(Delete(history_key_of(record.name, oldest)))
    return Transaction((Compare(key, revision),), tuple(writes))
