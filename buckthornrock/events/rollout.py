"""Log events of the rollout of weights (numbers 2300 to 2399)."""

from .event import Event

DUTY_TAKEN = Event(
    2300,
    "rollout.duty_taken",
    "info",
    ("fence",),
    "This instance acquired the rollout lease; only its holder may order engines to "
    "load weights.",
)
DUTY_LOST = Event(
    2301,
    "rollout.duty_lost",
    "warning",
    ("fence",),
    "The rollout lease expired or was released.",
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
    "An engine was ordered to load new weights; the order is valid only if the engine "
    "has accepted n_orders orders so far.",
)
ENGINE_SET_ASIDE = Event(
    2303,
    "rollout.engine_set_aside",
    "warning",
    ("upstream_id", "reason", "duration_ms"),
    "An engine did not report its state; it is polled again after duration_ms.",
)
