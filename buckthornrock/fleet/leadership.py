"""Leader election per engine: which instance may send it orders, and from when on.

An engine's leader holds the engine's key in the key-value service, bound to the
instance's lease. In stored keys, log events and operator rows the leader is called the
steward. The key's revision is the fencing token: that of a later leader is always
higher. An engine that does not check fencing tokens is protected by time instead: a
leader sends an order only while its lease lasts longer than an order may take, and a
new leader waits until the last order of its predecessor must have ended.
"""

from typing import NamedTuple

from ..runtime.rendezvous import owner

KEY_PREFIX = "stewards/"
#: Value of a key whose leader gave it up. The key is not deleted, because a late copy
#: of the write that created it would then take effect a second time.
FREE = b""
#: An instance that is no longer the preferred leader keeps the key for this long.
HANDOVER_MS = 5_000.0


class LeadershipRules(NamedTuple):
    """Times that keep two leaders from sending orders at once.

    Parameters
    ----------
    lease_ttl_ms : float
        Time to live of an instance's lease.
    order_timeout_ms : float
        Longest time from the lease check before an order to its end at the engine.
    load_time_ms : float
        Longest time that a load of weights may take; a slot is kept at most so long.
    """

    lease_ttl_ms: float
    order_timeout_ms: float
    load_time_ms: float


class Leadership(NamedTuple):
    """One held leader key.

    Parameters
    ----------
    fencing : int
        Fencing token that orders carry: the key's revision, or a higher number if the
        engine has seen a higher one before the service was restored from a backup.
    key_revision : int
        Revision of the key.
    epoch : int
        Epoch of the lease that the key is bound to; under another epoch the key is
        gone.
    acquired_at_ms : float
        Monotonic time after the key was written.
    """

    upstream_id: str
    fencing: int
    key_revision: int
    epoch: int
    acquired_at_ms: float
    not_preferred_since_ms: float | None = None


def leader_key(upstream_id: str) -> str:
    """Return the key that names an engine's leader."""
    return KEY_PREFIX + upstream_id


def is_preferred_leader(
    upstream_id: str, own_id: str, live_ids: tuple[str, ...]
) -> bool:
    """Return whether rendezvous hashing makes this instance the preferred leader."""
    return owner(upstream_id.encode(), live_ids) == own_id


def margin_ms(rules: LeadershipRules, is_load: bool) -> float:
    """Return how long the lease must still last for an order to be sent."""
    return rules.order_timeout_ms + (rules.load_time_ms if is_load else 0.0)


def may_order_from_ms(
    leadership: Leadership, checks_fencing: bool, rules: LeadershipRules
) -> float:
    """Return the time from which the leader may send orders.

    An engine that checks fencing tokens itself refuses the previous leader. Otherwise
    the previous leader's lease may have expired only a moment ago by its own clock,
    with an order still in flight, so the new leader waits.
    """
    if checks_fencing:
        return leadership.acquired_at_ms
    wait_ms = rules.lease_ttl_ms + rules.order_timeout_ms
    return leadership.acquired_at_ms + wait_ms


def with_preference(
    leadership: Leadership, is_preferred: bool, now_ms: float
) -> Leadership:
    """Record whether this instance is still the preferred leader."""
    if is_preferred:
        return leadership._replace(not_preferred_since_ms=None)
    if leadership.not_preferred_since_ms is None:
        return leadership._replace(not_preferred_since_ms=now_ms)
    return leadership


def should_hand_over(leadership: Leadership, now_ms: float) -> bool:
    """Return whether another instance has been preferred for long enough."""
    since_ms = leadership.not_preferred_since_ms
    return since_ms is not None and now_ms - since_ms >= HANDOVER_MS
