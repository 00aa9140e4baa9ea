"""Log events of upstream health, orders and placement (numbers 2000 to 2099)."""

from .event import Event

UPSTREAM_DOWN = Event(
    2000,
    "fleet.upstream_down",
    "warning",
    ("upstream_id", "reason"),
    "An engine does not answer load polls; it gets no new work until it does.",
)
COLD_START = Event(
    2001,
    "fleet.cold_start",
    "info",
    ("upstream_id", "incarnation"),
    "An engine came back with an empty cache; its traffic returns slowly.",
)
UPSTREAM_EJECTED = Event(
    2002,
    "fleet.upstream_ejected",
    "warning",
    ("upstream_id",),
    "An upstream failed several requests in a row and gets none for a while.",
)
UPSTREAM_LEAVING = Event(
    2003,
    "fleet.upstream_leaving",
    "info",
    ("upstream_id", "source"),
    "An upstream is leaving, by the named source; it gets no new work.",
)
STEWARD_GAINED = Event(
    2050,
    "fleet.steward_gained",
    "info",
    ("upstream_id", "fencing"),
    "This instance became the steward of an engine.",
)
STEWARD_LOST = Event(
    2051,
    "fleet.steward_lost",
    "info",
    ("upstream_id", "reason"),
    "This instance is no longer the steward of an engine.",
)
ORDER_SENT = Event(
    2052,
    "fleet.order_sent",
    "info",
    (
        "upstream_id",
        "order_id",
        "kind",
        "model",
        "weights_version",
        "reason",
        "outcome",
    ),
    "An engine was ordered towards what the placement wants.",
)
