"""Log events of upstream health, orders and placement (numbers 2000 to 2099)."""

from .event import Event

UPSTREAM_DOWN = Event(
    2000,
    "fleet.upstream_down",
    "warning",
    ("upstream_id", "reason"),
    "An engine does not respond to load polls; it gets no new work until it responds.",
)
COLD_START = Event(
    2001,
    "fleet.cold_start",
    "info",
    ("upstream_id", "incarnation"),
    "An engine restarted with an empty cache; its share of traffic grows gradually.",
)
UPSTREAM_EJECTED = Event(
    2002,
    "fleet.upstream_ejected",
    "warning",
    ("upstream_id",),
    "An upstream failed several requests in a row; it gets no requests for a limited "
    "time.",
)
UPSTREAM_LEAVING = Event(
    2003,
    "fleet.upstream_leaving",
    "info",
    ("upstream_id", "source"),
    "An upstream is leaving the fleet, as reported by the named source; it gets no new "
    "work.",
)
STEWARD_GAINED = Event(
    2050,
    "fleet.steward_gained",
    "info",
    ("upstream_id", "fencing"),
    "This instance became the leader of an engine: only it may send the engine orders.",
)
STEWARD_LOST = Event(
    2051,
    "fleet.steward_lost",
    "info",
    ("upstream_id", "reason"),
    "This instance is no longer the leader of an engine.",
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
    "An order was sent to an engine so that it comes to match the placement.",
)
