"""Order and refusal of requests that wait for a place; pure.

Answers bursts beyond the fleet's capacity: the most urgent rank goes first, within a
rank the request whose client still has the least time, and a request that can't be
placed before its client gives up is refused when that becomes known.
"""

import heapq
from collections.abc import Callable, Iterator
from typing import NamedTuple

from .choice import PREFILL_TOKENS_PER_MS, Demand

#: Time of a client's deadline that must be left when a request is handed on.
MIN_SERVICE_MS = 150.0
#: Requests of one rank that are tried before the rank is taken to have no place.
N_TRIES_PER_RANK = 6


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
        self._queue: list[tuple[int, float, int, Waiting]] = []
        self._left: set[int] = set()

    def __len__(self) -> int:
        return len(self._queue) - len(self._left)

    def join(self, waiting: Waiting) -> None:
        """Add a request."""
        key = (waiting.demand.rank, waiting.give_up_at_ms, waiting.number)
        heapq.heappush(self._queue, (*key, waiting))

    def leave(self, number: int) -> None:
        """Take out a request whose client left or that was refused."""
        if any(entry[3].number == number for entry in self._queue):
            self._left.add(number)

    def place_each(self, try_place: Callable[[Waiting], bool]) -> None:
        """Offer places in order; ``try_place`` returns whether one was taken."""
        kept: list[tuple[int, float, int, Waiting]] = []
        n_failed_by_rank: dict[int, int] = {}
        while self._queue:
            entry = heapq.heappop(self._queue)
            rank, waiting = entry[0], entry[3]
            if waiting.number in self._left:
                self._left.discard(waiting.number)
                continue
            if n_failed_by_rank.get(rank, 0) >= N_TRIES_PER_RANK:
                kept.append(entry)
                continue
            if try_place(waiting):
                continue
            n_failed_by_rank[rank] = n_failed_by_rank.get(rank, 0) + 1
            kept.append(entry)
        for entry in kept:
            heapq.heappush(self._queue, entry)

    def ahead_of(self, demand: Demand) -> Backlog:
        """Return the work that waits at the demand's rank or before it."""
        ahead = [w for w in self._members() if w.demand.rank <= demand.rank]
        n_tokens = sum(_n_tokens(waiting.demand) for waiting in ahead)
        return Backlog(len(ahead), n_tokens)

    def _members(self) -> Iterator[Waiting]:
        for *_, waiting in self._queue:
            if waiting.number not in self._left:
                yield waiting


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
