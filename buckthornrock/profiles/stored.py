"""Keys and values of profiles in the key-value service."""

import msgspec
from expression import Error, Ok, Result

from ..runtime.decoding import UNDECODABLE
from ..store import KvEntry
from .document import Profile
from .errors import UnreadableProfile
from .port import ProfileRecord

KEY_PREFIX = "profiles/"
HISTORY_PREFIX = "profile-history/"
#: Number of versions whose history entries are kept.
N_HISTORY_VERSIONS = 100


class StoredProfile(msgspec.Struct):
    """Stored value of one version; fields that are added later need defaults."""

    version: int
    profile: msgspec.Raw
    author: str = ""
    accepted_wall_ms: int = 0


def key_of(name: str) -> str:
    """Return the key of the version in force."""
    return KEY_PREFIX + name


def history_key_of(name: str, version: int) -> str:
    """Return the key of one version's history entry."""
    return f"{HISTORY_PREFIX}{name}/{version:08d}"


def encode_record(record: ProfileRecord) -> bytes:
    """Return the stored value of a record."""
    return msgspec.json.encode(
        StoredProfile(
            record.version,
            msgspec.Raw(record.raw),
            record.author,
            record.accepted_wall_ms,
        )
    )


def decode_entry(entry: KvEntry, name: str) -> Result[ProfileRecord, UnreadableProfile]:
    """Return the record that an entry contains."""
    try:
        stored = msgspec.json.decode(entry.value, type=StoredProfile)
        profile = msgspec.json.decode(stored.profile, type=Profile)
    except UNDECODABLE as error:
        return Error(UnreadableProfile(name, str(error)))
    return Ok(
        ProfileRecord(
            name=name,
            version=stored.version,
            profile=profile,
            trust="kv",
            author=stored.author,
            accepted_wall_ms=stored.accepted_wall_ms,
            raw=bytes(stored.profile),
        )
    )
