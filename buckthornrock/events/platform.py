"""Log events of the platform's services and of leases (numbers 1200 to 1299)."""

from .event import Event

KV_DOWN = Event(
    1200,
    "platform.kv_down",
    "warning",
    ("reason",),
    "The key-value service failed several times in a row; the circuit breaker is open "
    "and lets only trial calls through until one succeeds.",
)
KV_BACK = Event(
    1201,
    "platform.kv_back",
    "info",
    (),
    "The key-value service responds again.",
)
LEASE_GRANTED = Event(
    1202,
    "platform.lease_granted",
    "info",
    ("lease_id", "ttl_s"),
    "The instance was granted a new lease.",
)
LEASE_LOST = Event(
    1203,
    "platform.lease_lost",
    "warning",
    ("lease_id", "reason"),
    "The lease expired or no longer exists; other instances may now own what it "
    "protected.",
)
