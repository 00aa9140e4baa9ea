"""Decides whether an instance watches the store itself. Does no I/O.

Calls to the store are limited for the whole fleet, so in a large one few instances
watch it, and the others learn of changes from digests and copies. Nobody is appointed:
in each failure domain the first relays watch, and the next one takes over when a
watcher tells that its calls fail. An instance that knows of no recent confirmation by
the store watches it itself: at once if it is a relay or hears no peer, else after a
random delay, until a call fails, so that an outage doesn't make the whole fleet call.
"""

import math
import random
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

#: Watchers of the fleet, if its failure domains have as many relays.
MIN_WATCHERS = 3
#: Age of the newest confirmation from which an instance watches the store itself.
STALE_AFTER_MS = 2_500.0
#: Followers of the whole fleet that begin to watch per second of an outage.
FLEET_JOINS_PER_S = 10.0
#: For how long an instance that was not planned as a watcher goes on watching.
JOINED_FOR_MS = 10_000.0
#: A watcher that reported failing calls counts as failing for this long.
FAILING_LIFETIME_MS = 3_000.0


class WatchInputs(NamedTuple):
    """What the decision of one instance depends on.

    ``is_planned`` says that it is one of the planned watchers, ``is_relay`` that it
    follows no other instance, ``is_isolated`` that it hears no peer.
    ``confirmation_age_ms`` is the age of the newest known confirmation by the store,
    ``failure_age_ms`` that of its own last call if that failed, else infinite.
    """

    is_planned: bool
    is_relay: bool
    is_isolated: bool
    confirmation_age_ms: float
    failure_age_ms: float
    n_instances: int


def is_planned_watcher(
    instance_id: str,
    relays_by_domain: Mapping[str, Sequence[str]],
    failing: Collection[str],
) -> bool:
    """Return whether an instance is one of the first relays of its failure domain.

    Relays whose calls to the store are ``failing`` go on trying, and the next ones of
    their failure domain watch as well.
    """
    n_domains = sum(bool(relays) for relays in relays_by_domain.values())
    n_watchers = math.ceil(MIN_WATCHERS / max(1, n_domains))
    for relays in relays_by_domain.values():
        if instance_id not in relays:
            continue
        before = relays[: list(relays).index(instance_id)]
        return sum(relay not in failing for relay in before) < n_watchers
    return False


class FailingWatchers:
    """Remembers which watchers reported that their calls to the store fail."""

    def __init__(self) -> None:
        self._reported_at_ms: dict[str, float] = {}

    def on_digest(self, instance_id: str, is_failing: bool, now_ms: float) -> None:
        """Record whether an instance's digest reports failing calls."""
        if is_failing:
            self._reported_at_ms[instance_id] = now_ms
        else:
            self._reported_at_ms.pop(instance_id, None)

    def names(self, now_ms: float) -> set[str]:
        """Return the watchers that count as failing."""
        return {
            instance_id
            for instance_id, at_ms in self._reported_at_ms.items()
            if now_ms - at_ms < FAILING_LIFETIME_MS
        }


class StoreWatch:
    """Remembers since when an instance watches that was not planned to."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._join_at_ms: float | None = None
        self._joined_at_ms = -math.inf
        self._joined_until_ms = -math.inf

    def should_watch(self, inputs: WatchInputs, now_ms: float) -> bool:
        """Return whether the instance watches the store now."""
        if inputs.is_planned:
            return True
        if inputs.confirmation_age_ms <= STALE_AFTER_MS:
            self._join_at_ms = None
            return now_ms < self._joined_until_ms
        if inputs.is_relay or inputs.is_isolated:
            self._join(now_ms)
        elif self._has_failed(inputs, now_ms):
            self._joined_until_ms = -math.inf
            self._join_at_ms = now_ms + self._delay_ms(inputs)
        elif self._join_at_ms is None:
            self._join_at_ms = now_ms + self._delay_ms(inputs)
        elif now_ms >= self._join_at_ms:
            self._join(now_ms)
        return now_ms < self._joined_until_ms

    def _join(self, now_ms: float) -> None:
        if now_ms >= self._joined_until_ms:
            self._joined_at_ms = now_ms
        self._joined_until_ms = now_ms + JOINED_FOR_MS

    def _has_failed(self, inputs: WatchInputs, now_ms: float) -> bool:
        """Return whether a call failed since this instance joined the watchers."""
        is_joined = now_ms < self._joined_until_ms
        return is_joined and inputs.failure_age_ms < now_ms - self._joined_at_ms

    def _delay_ms(self, inputs: WatchInputs) -> float:
        mean_s = inputs.n_instances / FLEET_JOINS_PER_S
        return self._rng.expovariate(1.0 / mean_s) * 1_000.0
