"""Log events of membership and the inner protocol (numbers 1400 to 1499)."""

from .event import Event

MEMBER_CHANGED = Event(
    1400,
    "membership.changed",
    "info",
    ("member", "incarnation", "state"),
    "An instance joined, is suspected, died or left.",
)
ID_TAKEN = Event(
    1401,
    "membership.id_taken",
    "warning",
    ("member", "other_incarnation"),
    "A record names this instance's id with another incarnation: an earlier run, or "
    "a second process with the same id.",
)
LIST_UNREADABLE = Event(
    1402,
    "membership.list_unreadable",
    "warning",
    ("reason",),
    "The platform's instance list could not be read; heartbeats go on.",
)
HANDLER_FAILED = Event(
    1403,
    "membership.handler_failed",
    "error",
    ("message_type", "sender", "error_type", "reason"),
    "A handler of a peer's message raised.",
)
