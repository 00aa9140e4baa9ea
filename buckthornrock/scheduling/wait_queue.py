"""Order and refusal of requests that wait for a place; pure.

Answers bursts beyond the fleet's capacity: the most urgent rank goes first, within a
rank the request whose client still has the least time, and a request that can't be
placed before its client gives up is refused when that becomes known.
"""

import math
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from .choice import Demand

#: Time of a client's deadline that must be left when a request is handed on.
MIN_SERVICE_MS = 150.0
#: Requests of one urgency that are tried before there is taken to be no place.
N_TRIES_PER_URGENCY = 6
#: Time over which rates are measured, and the requests that this takes.
RATE_WINDOW_MS = 2_000.0
MIN_COUNTED = 3


class QueuedRequest(NamedTuple):
    """A request that waits; ``deadline_at_ms`` is its client's deadline.

    ``number`` distinguishes it from all others of its instance.
    """

    number: int
    demand: Demand
    joined_at_ms: float
    deadline_at_ms: float


class RecentRate:
    """Prompt tokens or plain requests that came or were handed on lately."""

    def __init__(self) -> None:
        self._counted: deque[tuple[float, int]] = deque()
        self._n_units = 0

    def add(self, n_units: int, now_ms: float) -> None:
        """Count a request."""
        self._forget(now_ms)
        self._counted.append((now_ms, n_units))
        self._n_units += n_units

    def per_ms(self, now_ms: float) -> float | None:
        """Return the rate, or None while there were too few requests to tell."""
        self._forget(now_ms)
        if len(self._counted) < MIN_COUNTED:
            return None
        return self._n_units / RATE_WINDOW_MS

    def _forget(self, now_ms: float) -> None:
        while self._counted and self._counted[0][0] < now_ms - RATE_WINDOW_MS:
            _, n_units = self._counted.popleft()
            self._n_units -= n_units


class WaitQueue:
    """Requests that wait for a place at the upstreams of one service."""

    def __init__(self) -> None:
        self._members: dict[int, QueuedRequest] = {}
        self._placed: dict[int, RecentRate] = defaultdict(RecentRate)
        self._arrived: dict[int, RecentRate] = defaultdict(RecentRate)

    def __len__(self) -> int:
        return len(self._members)

    def enqueue(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        self._members[waiting.number] = waiting

    def remove(self, number: int) -> None:
        """Take out a request whose client left or that was refused."""
        self._members.pop(number, None)

    def on_arrived(self, demand: Demand, now_ms: float) -> None:
        """Count a request, whether it will wait or not."""
        self._arrived[demand.urgency].add(_n_units(demand), now_ms)

    def on_placed(self, demand: Demand, now_ms: float) -> None:
        """Count a request that was handed on, whether it waited or not."""
        self._placed[demand.urgency].add(_n_units(demand), now_ms)

    def has_ahead_of(self, demand: Demand) -> bool:
        """Return whether a request waits that is at least as urgent."""
        return any(
            waiting.demand.urgency <= demand.urgency
            for waiting in self._members.values()
        )

    def place_in_order(
        self, try_place: Callable[[QueuedRequest], bool], now_ms: float
    ) -> None:
        """Offer places in order; ``try_place`` returns whether one was taken."""
        n_failed: dict[int, int] = defaultdict(int)
        for waiting in self._in_order(now_ms):
            urgency = waiting.demand.urgency
            if n_failed[urgency] >= N_TRIES_PER_URGENCY:
                continue
            if try_place(waiting):
                del self._members[waiting.number]
                self.on_placed(waiting.demand, now_ms)
                continue
            n_failed[urgency] += 1

    def expected_wait_ms(self, waiting: QueuedRequest, now_ms: float) -> float:
        """Return how long a request waits behind others of its urgency.

        Requests that are more urgent hardly wait, so they aren't counted; what they
        take shows in the rate at which this urgency is handed on.
        """
        rate = self._placed[waiting.demand.urgency].per_ms(now_ms)
        if not rate:
            return 0.0
        key = _order(waiting, now_ms)
        n_ahead = sum(
            _n_units(other.demand)
            for other in self._members.values()
            if other.demand.urgency == waiting.demand.urgency
            and _order(other, now_ms) < key
        )
        return n_ahead / rate

    def predict_missed_deadlines(
        self, now_ms: float
    ) -> list[tuple[QueuedRequest, float]]:
        """Return the requests that won't be placed in time, with their wait.

        Those that are late already get only what newer ones leave over.
        """
        found: list[tuple[QueuedRequest, float]] = []
        n_ahead: dict[int, int] = defaultdict(int)
        for waiting in self._in_order(now_ms):
            urgency = waiting.demand.urgency
            wait_ms = _wait_ms(n_ahead[urgency], self._rate_for(waiting, now_ms))
            if will_miss_deadline(waiting, wait_ms, now_ms):
                found.append((waiting, wait_ms))
                continue
            n_ahead[urgency] += _n_units(waiting.demand)
        return found

    def _rate_for(self, waiting: QueuedRequest, now_ms: float) -> float | None:
        """Return the rate at which requests like this one are handed on."""
        urgency = waiting.demand.urgency
        rate = self._placed[urgency].per_ms(now_ms)
        # Refused requests of urgent routes come back at once and crowd out new ones.
        if rate is None or waiting.demand.is_urgent or not _is_late(waiting, now_ms):
            return rate
        return rate - (self._arrived[urgency].per_ms(now_ms) or 0.0)

    def _in_order(self, now_ms: float) -> list[QueuedRequest]:
        return sorted(self._members.values(), key=lambda w: _order(w, now_ms))


def will_miss_deadline(waiting: QueuedRequest, wait_ms: float, now_ms: float) -> bool:
    """Return whether a request can't be placed before its client gives up."""
    return now_ms + wait_ms + MIN_SERVICE_MS > waiting.deadline_at_ms


def _wait_ms(n_ahead: int, rate: float | None) -> float:
    if rate is None:
        return 0.0
    return n_ahead / rate if rate > 0.0 else math.inf


def _order(waiting: QueuedRequest, now_ms: float) -> tuple[int, bool, float]:
    """Return the sort key: urgent first, then those that can still be on time."""
    is_late = _is_late(waiting, now_ms)
    return waiting.demand.urgency, is_late, waiting.deadline_at_ms


def _is_late(waiting: QueuedRequest, now_ms: float) -> bool:
    waited_ms = now_ms - waiting.joined_at_ms
    return waited_ms + MIN_SERVICE_MS > waiting.demand.route.objective_ms


def _n_units(demand: Demand) -> int:
    """Return the size of a request: its prompt's tokens, or 1 for a plain one."""
    return demand.prompt.n_prompt_tokens if demand.prompt else 1
