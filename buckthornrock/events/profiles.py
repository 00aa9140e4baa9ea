"""Log events of profiles and their propagation (numbers 1300 to 1399)."""

from .event import Event

ACCEPTED = Event(
    1300,
    "profiles.accepted",
    "info",
    ("name", "version", "author"),
    "This instance accepted a change of a profile.",
)
IN_FORCE = Event(
    1301,
    "profiles.in_force",
    "info",
    ("name", "version", "trust"),
    "A newer version of a profile took effect on this instance.",
)
KV_OLDER = Event(
    1302,
    "profiles.kv_older",
    "warning",
    ("name", "version", "kv_version", "is_restored"),
    "The key-value service returned an older version (0: none) than the accepted one; "
    "the instance keeps the accepted version and writes it back.",
)
WATCH_ENDED = Event(
    1303,
    "profiles.watch_ended",
    "info",
    ("reason",),
    "The watch on profiles ended; it is reopened after a full read.",
)
UNREADABLE = Event(
    1304,
    "profiles.unreadable",
    "error",
    ("name", "reason"),
    "A version can't be decoded, perhaps because a newer release wrote it; the "
    "instance keeps its own version and overwrites nothing.",
)
