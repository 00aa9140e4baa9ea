"""Which instance may order an engine, and from when on.

An engine's steward holds its key in the key-value service under the instance's lease.
The key's revision is the fencing number: a later steward's is always higher. An engine
that ignores fencing is protected by time instead: a steward orders only while its
lease lasts longer than an order may take, and a new one waits until the last order of
the one before it has ended.
"""

from typing import NamedTuple

from ..runtime.rendezvous import owner

KEY_PREFIX = "stewards/"
#: Value of a key that was handed back. Were the key deleted instead, a late copy of the
#: write that created it would take effect once more.
FREE = b""
#: An instance that is no longer the first choice keeps the key for this long.
HANDOVER_MS = 5_000.0


class LeadershipRules(NamedTuple):
    """Times that keep stewards apart.

    Parameters
    ----------
    lease_ttl_ms : float
        Time to live of an instance's lease.
    order_timeout_ms : float
        Longest time from the check before an order to its end at the engine.
    load_time_ms : float
        Longest time that an engine takes to load weights while slots are kept.
    """

    lease_ttl_ms: float
    order_timeout_ms: float
    load_time_ms: float


class Leadership(NamedTuple):
    """One held steward key.

    Parameters
    ----------
    fencing : int
        Number that orders carry: the key's revision, or a higher one if the engine
        has seen a higher one from before the service was set back.
    key_revision : int
        Revision of the key.
    epoch : int
        Of the lease under which it was written; another epoch means that it is gone.
    acquired_at_ms : float
        Monotonic time after the key was written.
    """

    upstream_id: str
    fencing: int
    key_revision: int
    epoch: int
    acquired_at_ms: float
    not_first_since_ms: float | None = None


def leader_key(upstream_id: str) -> str:
    """Return where an engine's steward is named."""
    return KEY_PREFIX + upstream_id


def is_first_choice(upstream_id: str, own_id: str, live_ids: tuple[str, ...]) -> bool:
    """Tell whether this instance is the one to become steward."""
    return owner(upstream_id.encode(), live_ids) == own_id


def margin_ms(rules: LeadershipRules, is_load: bool) -> float:
    """Return how long the lease must still last when an order is sent."""
    return rules.order_timeout_ms + (rules.load_time_ms if is_load else 0.0)


def may_order_from_ms(
    leadership: Leadership, checks_fencing: bool, rules: LeadershipRules
) -> float:
    """Return the time from which the steward may order.

    With fencing the engine itself refuses the one before. Without it, that one's
    lease may have ended only a moment ago by its own clock, with an order under way.
    """
    if checks_fencing:
        return leadership.acquired_at_ms
    wait_ms = rules.lease_ttl_ms + rules.order_timeout_ms
    return leadership.acquired_at_ms + wait_ms


def with_choice(leadership: Leadership, is_first: bool, now_ms: float) -> Leadership:
    """Note whether this instance is still the first choice."""
    if is_first:
        return leadership._replace(not_first_since_ms=None)
    if leadership.not_first_since_ms is None:
        return leadership._replace(not_first_since_ms=now_ms)
    return leadership


def is_to_hand_over(leadership: Leadership, now_ms: float) -> bool:
    """Tell whether another instance has been the first choice for long enough."""
    since_ms = leadership.not_first_since_ms
    return since_ms is not None and now_ms - since_ms >= HANDOVER_MS
