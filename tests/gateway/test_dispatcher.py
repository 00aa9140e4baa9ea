"""Requests that wait for a place at engines, as in a burst of long prompts."""

import asyncio

import pytest

from buckthornrock.catalog.upstreams import UpstreamDirectory
from buckthornrock.gateway import dispatcher as dispatcher_module
from buckthornrock.gateway.dispatcher import TICK_MS, Dispatcher
from buckthornrock.gateway.requests import AdmittedRequest
from buckthornrock.scheduling.choice import choose
from buckthornrock.scheduling.loads import FleetLoads, Work
from buckthornrock.wire.numeric_ids import incarnation_number
from tests.scheduling.world import engine, long, short, view

N_ENGINES = 45
N_WAITING = 40
N_TICKS = 25
DEADLINE_MS = 12_000.0
#: What a peer tells of each engine while there is no place.
NO_PLACE = {
    "slots": Work(32, 0.0, 90_000),
    "reading": Work(9, 500.0, 90_000),
    "memory": Work(9, 100.0, 170_000),
}


class Burst:
    """A dispatcher with waiting requests, and the time."""

    def __init__(self, monkeypatch):
        self.now_ms = 0.0
        self.n_choices = 0
        self.engines = [engine(number) for number in range(N_ENGINES)]
        directory = UpstreamDirectory()
        directory.replace(self.engines, 1, 0.0)
        self.loads = FleetLoads()
        self.dispatcher = Dispatcher(
            directory,
            self.loads,
            lambda: view(self.now_ms, loads=self.loads),
            lambda: self.now_ms,
        )
        monkeypatch.setattr(dispatcher_module, "choose", self._choose)

    def tell(self, work):
        """Have a peer tell the same of each engine."""
        works = {incarnation_number(*e.incarnation): work for e in self.engines}
        self.loads.on_digest("relay", works, self.now_ms)

    async def arrive(self):
        demands = [
            long(f"contract-{n}") if n % 2 else short(f"note-{n}")
            for n in range(N_WAITING)
        ]
        admitted = [
            AdmittedRequest(None, demand.route, None, demand, DEADLINE_MS)
            for demand in demands
        ]
        places = [
            asyncio.create_task(self.dispatcher.reserve(request, frozenset()))
            for request in admitted
        ]
        await asyncio.sleep(0)
        return places

    async def tick(self, n_ticks, work):
        for _ in range(n_ticks):
            self.now_ms += TICK_MS
            self.tell(work)
            self.dispatcher.schedule_wake()
            await asyncio.sleep(0)

    def _choose(self, demand, upstreams, view):
        self.n_choices += 1
        return choose(demand, upstreams, view)


@pytest.mark.parametrize("work", NO_PLACE.values(), ids=NO_PLACE)
def test_waiting_requests_cost_nothing_while_no_engine_has_room(monkeypatch, work):
    """In a burst each tick weighed 45 engines for a dozen requests that waited."""

    async def main():
        burst = Burst(monkeypatch)
        burst.tell(work)
        places = await burst.arrive()
        assert burst.dispatcher.n_waiting() == N_WAITING
        burst.n_choices = 0
        await burst.tick(N_TICKS, work)
        assert burst.n_choices == 0
        await burst.tick(N_TICKS, Work())
        assert burst.dispatcher.n_waiting() == 0
        placed = await asyncio.gather(*places)
        assert all(place.is_ok() for place in placed)

    asyncio.run(main())
