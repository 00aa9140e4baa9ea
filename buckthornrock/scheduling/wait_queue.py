"""Queue of the requests that wait for capacity; orders and rejects them.

When a burst exceeds the fleet's capacity, the most urgent requests are placed first,
and among equally urgent ones those with the earliest deadline. A request that can't
be placed before its client's deadline is rejected as soon as that is known. Pure: the
caller passes the time.
"""

import math
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

from .placement import Demand

#: Time that must remain until a client's deadline when a request is placed.
MIN_SERVICE_MS = 150.0
#: After this many failed tries, no capacity is assumed for requests of this urgency.
N_TRIES_PER_URGENCY = 6
#: Window over which rates are measured, and the fewest requests that give a rate.
RATE_WINDOW_MS = 2_000.0
MIN_COUNTED = 3
#: Shortest time that a rate refers to after a restart.
MIN_RATE_SPAN_MS = 200.0


class QueuedRequest(NamedTuple):
    """A queued request; ``deadline_at_ms`` is its client's deadline.

    ``number`` is unique within the instance.
    """

    number: int
    demand: Demand
    enqueued_at_ms: float
    deadline_at_ms: float


class RecentRate:
    """Rate over a sliding window, in prompt tokens or, for plain services, requests."""

    def __init__(self) -> None:
        self._counted: deque[tuple[float, int]] = deque()
        self._n_units = 0
        self._restarted_at_ms = -math.inf

    def snapshot(self) -> "RecentRate":
        """Return a copy whose use changes nothing here."""
        copied = RecentRate()
        copied._counted = self._counted.copy()
        copied._n_units = self._n_units
        copied._restarted_at_ms = self._restarted_at_ms
        return copied

    def add(self, n_units: int, now_ms: float) -> None:
        """Count a request of ``n_units``."""
        self._forget(now_ms)
        self._counted.append((now_ms, n_units))
        self._n_units += n_units

    def per_ms(self, now_ms: float) -> float | None:
        """Return the units per ms, or None with too few requests in the window."""
        self._forget(now_ms)
        if len(self._counted) < MIN_COUNTED:
            return None
        span_ms = max(MIN_RATE_SPAN_MS, now_ms - self._restarted_at_ms)
        return self._n_units / min(RATE_WINDOW_MS, span_ms)

    def restart(self, now_ms: float) -> None:
        """Count from now on only."""
        self._counted.clear()
        self._n_units = 0
        self._restarted_at_ms = now_ms

    def _forget(self, now_ms: float) -> None:
        while self._counted and self._counted[0][0] < now_ms - RATE_WINDOW_MS:
            _, n_units = self._counted.popleft()
            self._n_units -= n_units


class WaitQueue:
    """Requests that wait for capacity at the upstreams of one service."""

    def __init__(self) -> None:
        self._queued: dict[int, QueuedRequest] = {}
        self._placed: dict[int, RecentRate] = defaultdict(RecentRate)
        self._arrived: dict[int, RecentRate] = defaultdict(RecentRate)

    def __len__(self) -> int:
        return len(self._queued)

    def snapshot(self) -> "WaitQueue":
        """Return a copy whose use changes nothing here.

        Reading a rate forgets what it has counted before its window.
        """
        copied = WaitQueue()
        copied._queued = dict(self._queued)
        copied._placed.update({k: r.snapshot() for k, r in self._placed.items()})
        copied._arrived.update({k: r.snapshot() for k, r in self._arrived.items()})
        return copied

    def enqueue(self, request: QueuedRequest) -> None:
        """Add a request to the queue."""
        self._queued[request.number] = request

    def remove(self, number: int) -> None:
        """Remove a request that was rejected or whose client disconnected."""
        self._queued.pop(number, None)

    def discard(self, is_ended: Callable[[int], bool]) -> None:
        """Remove the requests that ended by themselves, by number."""
        for number in [number for number in self._queued if is_ended(number)]:
            del self._queued[number]

    def end_by(self, at_ms: float) -> None:
        """Move the deadlines that are later than ``at_ms`` to it."""
        for request in self.ending_at(at_ms):
            self._queued[request.number] = request._replace(deadline_at_ms=at_ms)

    def ending_at(self, at_ms: float) -> list[QueuedRequest]:
        """Return the requests whose deadline is ``at_ms`` or later."""
        return [r for r in self._queued.values() if r.deadline_at_ms >= at_ms]

    def on_arrived(self, demand: Demand, now_ms: float) -> None:
        """Count an arriving request, whether it will be queued or not."""
        self._arrived[demand.urgency].add(_n_units(demand), now_ms)

    def on_placed(self, demand: Demand, now_ms: float) -> None:
        """Count a placed request, whether it was queued or not."""
        self._placed[demand.urgency].add(_n_units(demand), now_ms)

    def restart_rates(self, now_ms: float) -> None:
        """Forget what was counted, as it says nothing of the capacity to come."""
        for rate in (*self._placed.values(), *self._arrived.values()):
            rate.restart(now_ms)

    def has_ahead_of(self, demand: Demand) -> bool:
        """Return whether a request that is at least as urgent is queued."""
        return any(
            request.demand.urgency <= demand.urgency
            for request in self._queued.values()
        )

    def place_in_order(
        self, try_place: Callable[[QueuedRequest], bool], now_ms: float
    ) -> None:
        """Try to place the requests in order; ``try_place`` returns whether it did."""
        n_failed: dict[int, int] = defaultdict(int)
        for request in self._in_order(now_ms):
            urgency = request.demand.urgency
            if n_failed[urgency] >= N_TRIES_PER_URGENCY:
                continue
            if try_place(request):
                del self._queued[request.number]
                self.on_placed(request.demand, now_ms)
                continue
            n_failed[urgency] += 1

    def expected_wait_ms(self, request: QueuedRequest, now_ms: float) -> float:
        """Return the estimated wait behind requests of the same urgency.

        More urgent requests hardly wait, so they aren't counted. The capacity that
        they use already lowers the rate at which this urgency is placed.
        """
        rate = self._placed[request.demand.urgency].per_ms(now_ms)
        if not rate:
            return 0.0
        key = _order(request, now_ms)
        n_ahead = sum(
            _n_units(other.demand)
            for other in self._queued.values()
            if other.demand.urgency == request.demand.urgency
            and _order(other, now_ms) < key
        )
        return n_ahead / rate

    def predict_missed_deadlines(
        self, now_ms: float, min_wait_ms: float = 0.0
    ) -> list[tuple[QueuedRequest, float]]:
        """Return the requests that will miss their deadline, with their estimated wait.

        No request is placed before ``min_wait_ms`` have passed. Requests past their
        latency objective only get the capacity that newer requests leave.
        """
        found: list[tuple[QueuedRequest, float]] = []
        n_ahead: dict[int, int] = defaultdict(int)
        for request in self._in_order(now_ms):
            urgency = request.demand.urgency
            rate = self._rate_for(request, now_ms)
            wait_ms = max(min_wait_ms, _wait_ms(n_ahead[urgency], rate))
            if will_miss_deadline(request, wait_ms, now_ms):
                found.append((request, wait_ms))
                continue
            n_ahead[urgency] += _n_units(request.demand)
        return found

    def _rate_for(self, request: QueuedRequest, now_ms: float) -> float | None:
        """Return the rate at which requests like this one are placed."""
        urgency = request.demand.urgency
        rate = self._placed[urgency].per_ms(now_ms)
        # The rate is not lowered for urgent routes: clients retry their rejected
        # requests at once, and the retries would displace new requests.
        if rate is None or request.demand.is_urgent or not _is_late(request, now_ms):
            return rate
        return rate - (self._arrived[urgency].per_ms(now_ms) or 0.0)

    def _in_order(self, now_ms: float) -> list[QueuedRequest]:
        return sorted(self._queued.values(), key=lambda w: _order(w, now_ms))


def will_miss_deadline(request: QueuedRequest, wait_ms: float, now_ms: float) -> bool:
    """Return whether a request can't be placed in time for its client's deadline."""
    return now_ms + wait_ms + MIN_SERVICE_MS > request.deadline_at_ms


def _wait_ms(n_ahead: int, rate: float | None) -> float:
    if rate is None:
        return 0.0
    return n_ahead / rate if rate > 0.0 else math.inf


def _order(request: QueuedRequest, now_ms: float) -> tuple[int, bool, float]:
    """Return the sort key: urgency, then whether the objective is missed, deadline."""
    is_late = _is_late(request, now_ms)
    return request.demand.urgency, is_late, request.deadline_at_ms


def _is_late(request: QueuedRequest, now_ms: float) -> bool:
    waited_ms = now_ms - request.enqueued_at_ms
    return waited_ms + MIN_SERVICE_MS > request.demand.route.objective_ms


def _n_units(demand: Demand) -> int:
    """Return the size of a request: its prompt tokens, or 1 for a plain service."""
    return demand.prompt.n_prompt_tokens if demand.prompt else 1
