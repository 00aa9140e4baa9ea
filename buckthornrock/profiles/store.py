"""Profiles in the key-value service, with the last known version in memory."""

import threading

import msgspec
from expression import Error, Ok, Result

from ..platform import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    Compare,
    KvPort,
    Put,
    Transaction,
)
from .document import Profile
from .errors import (
    ApplyFailure,
    ProfileConflict,
    ProfileUndecided,
    UnknownProfile,
)
from .port import ProfilePort, ProfileRecord
from .start import start_profile

KEY_PREFIX = "profiles/"


class _Stored(msgspec.Struct):
    """A profile as it is kept in the key-value service."""

    version: int
    profile: Profile


class ProfileStore:
    """The newest known record of each profile; versions never fall."""

    def __init__(self, kv: KvPort, default_name: str) -> None:
        self._kv = kv
        self._lock = threading.Lock()
        start = ProfileRecord(default_name, 0, start_profile(), "start")
        self._records = {default_name: start}

    def current(self, name: str) -> Result[ProfileRecord, UnknownProfile]:
        """Return the newest known record of ``name``."""
        with self._lock:
            record = self._records.get(name)
        return Ok(record) if record else Error(UnknownProfile(name))

    def names(self) -> tuple[str, ...]:
        """Return the names of all known profiles."""
        with self._lock:
            return tuple(sorted(self._records))

    def offer(self, record: ProfileRecord) -> bool:
        """Take ``record`` unless an equal or newer version is known."""
        with self._lock:
            known = self._records.get(record.name)
            if known and known.version >= record.version:
                return False
            self._records[record.name] = record
            return True

    def refresh(self) -> None:
        """Read all profiles from the key-value service."""
        entries = self._kv.get_prefix(KEY_PREFIX)
        if entries.is_error():
            return
        for entry in entries.ok:
            stored = msgspec.json.decode(entry.value, type=_Stored)
            name = entry.key.removeprefix(KEY_PREFIX)
            self.offer(ProfileRecord(name, stored.version, stored.profile, "kv"))

    def apply(
        self, name: str, profile: Profile, expected_version: int
    ) -> Result[ProfileRecord, ApplyFailure]:
        """Accept ``profile`` as the version after ``expected_version``."""
        key = KEY_PREFIX + name
        entry = self._kv.get(key)
        if entry.is_error():
            return Error(ProfileUndecided(name, entry.error.reason, "true"))
        found = _version_of(entry.ok)
        if found != expected_version:
            return Error(ProfileConflict(name, expected_version, found))
        version = expected_version + 1
        value = msgspec.json.encode(_Stored(version, profile))
        revision = entry.ok.mod_revision if entry.ok else 0
        compare = Compare(key, revision)
        outcome = self._kv.commit(Transaction((compare,), (Put(key, value),)))
        match outcome:
            case CommitDone():
                record = ProfileRecord(name, version, profile, "kv")
                self.offer(record)
                return Ok(record)
            case CommitConflict(entries):
                found = _version_of(next(iter(entries), None))
                return Error(ProfileConflict(name, expected_version, found))
            case CommitNotDone(reason):
                return Error(ProfileUndecided(name, reason, "true"))
        return Error(ProfileUndecided(name, outcome.reason, "unknown"))


def _version_of(entry: object) -> int:
    if entry is None:
        return 0
    return msgspec.json.decode(entry.value, type=_Stored).version


def open_profiles(store: ProfileStore) -> ProfilePort:
    """Return the port to ``store``."""
    return ProfilePort(current=store.current, apply=store.apply, names=store.names)
