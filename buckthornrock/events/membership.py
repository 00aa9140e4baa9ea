"""Log events of membership and of messages between instances (1400 to 1499)."""

from .event import Event

MEMBER_CHANGED = Event(
    1400,
    "membership.changed",
    "info",
    ("member", "incarnation", "state"),
    "An instance joined, is suspected of having failed, was declared dead or left.",
)
ID_TAKEN = Event(
    1401,
    "membership.id_taken",
    "warning",
    ("member", "other_incarnation"),
    "A membership record has this instance's id with another incarnation: that of an "
    "earlier run or of a second process with the same id.",
)
LIST_UNREADABLE = Event(
    1402,
    "membership.list_unreadable",
    "warning",
    ("reason",),
    "The platform's instance list could not be read; heartbeats continue.",
)
HANDLER_FAILED = Event(
    1403,
    "membership.handler_failed",
    "error",
    ("message", "sender", "error_type", "reason"),
    "The handler of a peer's message raised an exception.",
)
