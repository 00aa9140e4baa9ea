"""Log events of the rollout of weights (numbers 2300 to 2399)."""

from .event import Event

DUTY_TAKEN = Event(
    2300,
    "rollout.duty_taken",
    "info",
    ("fence",),
    "This instance holds the lease for orders to engines.",
)
DUTY_LOST = Event(
    2301,
    "rollout.duty_lost",
    "warning",
    ("fence",),
    "The lease for orders lapsed or was given back.",
)
ORDER_SENT = Event(
    2302,
    "rollout.order_sent",
    "info",
    (
        "upstream_id",
        "model",
        "version",
        "loaded_version",
        "fence",
        "n_orders",
        "outcome",
    ),
    "An engine was told to load new weights; n_orders is the count that the order "
    "rests on.",
)
ENGINE_SET_ASIDE = Event(
    2303,
    "rollout.engine_set_aside",
    "warning",
    ("upstream_id", "reason", "duration_ms"),
    "An engine gave no report; it is asked again after duration_ms.",
)
