"""Waits for places at upstreams and accounts for the work that is handed on."""

import asyncio
import functools
import itertools
from collections import defaultdict
from collections.abc import Callable

from expression import Error, Ok, Result

from ..catalog.upstreams import Upstream, UpstreamDirectory
from ..scheduling.choice import (
    Demand,
    NoCapacity,
    Placement,
    SchedulingView,
    choose,
    may_fit,
    with_capacity,
)
from ..scheduling.loads import FleetLoads, LoadReport, Work
from ..scheduling.wait_queue import (
    MIN_SERVICE_MS,
    QueuedRequest,
    WaitQueue,
    will_miss_deadline,
)
from .requests import AdmittedRequest, Outlook, Refusal

#: Places also come free by peers' requests, which only this period shows.
TICK_MS = 20.0
#: Clients of refused requests come back no earlier and no later than this.
MIN_RETRY_AFTER_MS = 200.0
MAX_RETRY_AFTER_MS = 3_000.0
#: Time in which an upstream may come back into service.
NO_UPSTREAM_RETRY_MS = 500.0


class Ticket:
    """Work of one request at one upstream.

    Attributes
    ----------
    placement : Placement
        Where the work is.
    """

    def __init__(
        self, placement: Placement, loads: FleetLoads, on_freed: Callable[[], None]
    ) -> None:
        self.placement = placement
        self._load = loads.of(placement.upstream.incarnation)
        self._left = placement.work
        self._on_freed = on_freed
        self._load.own = self._load.own.plus(placement.work)

    def on_first_event(self) -> None:
        """Note that the prompt has been read."""
        self._give_up(Work(prefill_ms=self._left.prefill_ms))

    def release(self) -> None:
        """Note that the request is no longer at the upstream."""
        self._give_up(self._left)

    def _give_up(self, work: Work) -> None:
        if not any(work):
            return
        self._left = self._left.minus(work)
        self._load.own = self._load.own.minus(work)
        self._on_freed()


class Dispatcher:
    """Finds a place for each request, in the order of the waiting rooms."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        loads: FleetLoads,
        view: Callable[[], SchedulingView],
        now_ms: Callable[[], float],
    ) -> None:
        self.loads = loads
        self._directory = directory
        self._view = view
        self._now_ms = now_ms
        self._rooms: dict[str, WaitQueue] = defaultdict(WaitQueue)
        self._places: dict[int, asyncio.Future[Ticket | Refusal]] = {}
        self._excluded: dict[int, frozenset[str]] = {}
        self._numbers = itertools.count()
        self._is_wake_due = False

    async def place(
        self, admitted: AdmittedRequest, excluded: frozenset[str]
    ) -> Result[Ticket, Refusal]:
        """Return a place at an upstream that is not excluded, or a refusal."""
        demand = admitted.demand
        room = self._rooms[demand.service.name]
        now_ms = self._now_ms()
        waiting = QueuedRequest(
            next(self._numbers), demand, now_ms, admitted.ends_at_ms
        )
        room.on_arrived(demand, now_ms)
        if not room.has_ahead_of(demand):
            placement = self._choose(demand, excluded)
            if isinstance(placement, Placement):
                room.on_placed(demand, now_ms)
                return Ok(self._ticket(placement))
            if not placement.n_usable:
                outlook = Outlook(0, len(room), NO_UPSTREAM_RETRY_MS)
                return Error(_refusal("no upstream is in service", outlook))
        wait_ms = room.expected_wait_ms(waiting, now_ms)
        if will_miss_deadline(waiting, wait_ms, now_ms):
            outlook = self._outlook(demand, wait_ms)
            return Error(_refusal("no place before the deadline", outlook))
        return await self._wait(waiting, excluded, room)

    def report(self, upstream: Upstream, load: tuple[int, int, int]) -> None:
        """Take over an upstream's own word on its load."""
        state = self.loads.of(upstream.incarnation)
        state.report = LoadReport(*load, self._now_ms())

    def block(self, upstream: Upstream, duration_ms: float) -> None:
        """Give an upstream no new work for a while."""
        state = self.loads.of(upstream.incarnation)
        until_ms = self._now_ms() + duration_ms
        state.blocked_until_ms = max(state.blocked_until_ms, until_ms)

    def n_waiting(self) -> int:
        """Return the number of requests that wait for a place."""
        return sum(len(room) for room in self._rooms.values())

    def wake_soon(self) -> None:
        """Offer places that came free at the next turn of the loop."""
        if self._is_wake_due or not self._places:
            return
        self._is_wake_due = True
        asyncio.get_running_loop().call_soon(self._wake)

    async def tick(self) -> None:
        """Offer places periodically."""
        while True:
            await asyncio.sleep(TICK_MS / 1000.0)
            self.wake_soon()
            self._refuse_hopeless()

    async def _wait(
        self, waiting: QueuedRequest, excluded: frozenset[str], room: WaitQueue
    ) -> Result[Ticket, Refusal]:
        place = asyncio.get_running_loop().create_future()
        self._places[waiting.number] = place
        self._excluded[waiting.number] = excluded
        room.enqueue(waiting)
        limit_ms = waiting.deadline_at_ms - MIN_SERVICE_MS - self._now_ms()
        ticket = None
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / 1000.0):
                found = await place
            if isinstance(found, Refusal):
                return Error(found)
            ticket = found
            return Ok(ticket)
        except TimeoutError:
            outlook = self._outlook(waiting.demand, MIN_RETRY_AFTER_MS)
            return Error(_refusal("no place came free in time", outlook))
        finally:
            del self._places[waiting.number], self._excluded[waiting.number]
            if ticket is None:
                room.remove(waiting.number)
                _release_unused(place)

    def _wake(self) -> None:
        self._is_wake_due = False
        for name, room in self._rooms.items():
            if not len(room):
                continue
            roomy = with_capacity(self._directory.usable(name), self._view())
            if roomy:
                try_place = functools.partial(self._try_place, roomy)
                room.place_in_order(try_place, self._now_ms())

    def _refuse_hopeless(self) -> None:
        """Tell requests at once that can't be placed in time any more."""
        now_ms = self._now_ms()
        for room in self._rooms.values():
            if not len(room):
                continue
            for waiting, wait_ms in room.predict_missed_deadlines(now_ms):
                place = self._places.get(waiting.number)
                if place is not None and not place.done():
                    room.remove(waiting.number)
                    reason = "no place before the deadline any more"
                    outlook = self._outlook(waiting.demand, wait_ms)
                    place.set_result(_refusal(reason, outlook))

    def _try_place(self, roomy: list[Upstream], waiting: QueuedRequest) -> bool:
        place = self._places.get(waiting.number)
        if place is None or place.done():
            return True
        if not may_fit(waiting.demand, roomy, self._view()):
            return False
        placement = self._choose(waiting.demand, self._excluded[waiting.number])
        if isinstance(placement, NoCapacity):
            return False
        place.set_result(self._ticket(placement))
        return True

    def _choose(
        self, demand: Demand, excluded: frozenset[str]
    ) -> Placement | NoCapacity:
        usable = self._directory.usable(demand.service.name)
        upstreams = [u for u in usable if u.upstream_id not in excluded]
        return choose(demand, upstreams or usable, self._view())

    def _outlook(self, demand: Demand, wait_ms: float) -> Outlook:
        name = demand.service.name
        n_usable = len(self._directory.usable(name))
        return Outlook(n_usable, len(self._rooms[name]), wait_ms)

    def _ticket(self, placement: Placement) -> Ticket:
        return Ticket(placement, self.loads, self.wake_soon)


def _release_unused(place: asyncio.Future[Ticket | Refusal]) -> None:
    """Give back a place that was found just as its client left."""
    if place.done() and not place.cancelled() and isinstance(place.result(), Ticket):
        place.result().release()


def _refusal(reason: str, outlook: Outlook) -> Refusal:
    retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, outlook.wait_ms))
    return Refusal(503, "no-place", reason, retry_after_ms, outlook)
