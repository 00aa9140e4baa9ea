"""Log events of profiles and their propagation (numbers 1300 to 1399)."""

from .event import Event

ACCEPTED = Event(
    1300,
    "profiles.accepted",
    "info",
    ("name", "version", "author"),
    "A change was accepted at this instance.",
)
IN_FORCE = Event(
    1301,
    "profiles.in_force",
    "info",
    ("name", "version", "trust"),
    "A newer version is in force on this instance.",
)
KV_OLDER = Event(
    1302,
    "profiles.kv_older",
    "warning",
    ("name", "version", "kv_version", "is_restored"),
    "The key-value service offered an older version (0: none) than the accepted one; "
    "the instance stays at the accepted one and writes it back.",
)
WATCH_ENDED = Event(
    1303,
    "profiles.watch_ended",
    "info",
    ("reason",),
    "The watch on profiles ended; it is opened again after a full read.",
)
