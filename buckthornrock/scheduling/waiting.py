"""Order and refusal of requests that wait for a place; pure.

Answers bursts beyond the fleet's capacity: the most urgent rank goes first, within a
rank the request whose client still has the least time, and a request that can't be
placed before its client gives up is refused when that becomes known.
"""

from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from .choice import Demand
from .reading import PREFILL_TOKENS_PER_MS

#: Time of a client's deadline that must be left when a request is handed on.
MIN_SERVICE_MS = 150.0
#: Requests of one urgency that are tried before there is taken to be no place.
N_TRIES_PER_URGENCY = 6


class Waiting(NamedTuple):
    """A request that waits; ``give_up_at_ms`` is its client's deadline.

    ``number`` distinguishes it from all others of its instance.
    """

    number: int
    demand: Demand
    joined_at_ms: float
    give_up_at_ms: float


class Backlog(NamedTuple):
    """Work that waits here before a request."""

    n_requests: int
    n_tokens: int


class WaitingRoom:
    """Requests that wait for a place at the upstreams of one service."""

    def __init__(self) -> None:
        self._members: dict[int, Waiting] = {}

    def __len__(self) -> int:
        return len(self._members)

    def join(self, waiting: Waiting) -> None:
        """Add a request."""
        self._members[waiting.number] = waiting

    def leave(self, number: int) -> None:
        """Take out a request whose client left or that was refused."""
        self._members.pop(number, None)

    def place_each(self, try_place: Callable[[Waiting], bool], now_ms: float) -> None:
        """Offer places in order; ``try_place`` returns whether one was taken."""
        n_failed: dict[int, int] = defaultdict(int)
        for waiting in sorted(self._members.values(), key=lambda w: _order(w, now_ms)):
            urgency = waiting.demand.urgency
            if n_failed[urgency] >= N_TRIES_PER_URGENCY:
                continue
            if try_place(waiting):
                del self._members[waiting.number]
                continue
            n_failed[urgency] += 1

    def ahead_of(self, demand: Demand) -> Backlog:
        """Return the work that waits and is at least as urgent as the demand."""
        ahead = [
            waiting
            for waiting in self._members.values()
            if waiting.demand.urgency <= demand.urgency
        ]
        return Backlog(len(ahead), sum(_n_tokens(w.demand) for w in ahead))


def _order(waiting: Waiting, now_ms: float) -> tuple[int, bool, float]:
    """Return the sort key: urgent first, then those that can still be on time."""
    waited_ms = now_ms - waiting.joined_at_ms
    is_late = waited_ms + MIN_SERVICE_MS > waiting.demand.route.objective_ms
    return waiting.demand.urgency, is_late, waiting.give_up_at_ms


def expected_wait_ms(
    demand: Demand, backlog: Backlog, n_upstreams: int, n_instances: int
) -> float:
    """Return how long a request will wait behind ``backlog``.

    Each instance is taken to get its equal share of the upstreams.
    """
    share = max(1, n_upstreams) / max(1, n_instances)
    if demand.prompt is not None:
        return backlog.n_tokens / PREFILL_TOKENS_PER_MS / share
    return backlog.n_requests * demand.route.objective_ms * 0.5 / share


def is_hopeless(waiting: Waiting, wait_ms: float, now_ms: float) -> bool:
    """Return whether a request can't be placed before its client gives up."""
    return now_ms + wait_ms + MIN_SERVICE_MS > waiting.give_up_at_ms


def _n_tokens(demand: Demand) -> int:
    """Return the prompt's own tokens; shared parts are mostly read already."""
    return demand.prompt.parts[-1].n_tokens if demand.prompt else 0
