"""Requests that wait for engine capacity in a burst of long prompts."""

import asyncio

import pytest

from buckthornrock.catalog.upstreams import UpstreamDirectory
from buckthornrock.gateway import dispatcher as dispatcher_module
from buckthornrock.gateway.dispatcher import TICK_MS, Dispatcher
from buckthornrock.gateway.requests import AdmittedRequest
from buckthornrock.scheduling.choice import choose, find_candidates
from buckthornrock.scheduling.loads import FleetLoads, Work
from buckthornrock.scheduling.long_prompts import (
    MAX_OVERFLOW_OBJECTIVE_MS,
    long_prompt_engines,
)
from buckthornrock.scheduling.wait_queue import WaitQueue
from buckthornrock.wire.numeric_ids import incarnation_number
from tests.scheduling.test_overflow import tight_long
from tests.scheduling.world import engine, long, short, view

N_ENGINES = 45
N_WAITING = 40
N_TICKS = 25
DEADLINE_MS = 12_000.0
#: Load of each engine, as a peer reports it, that leaves no capacity.
NO_CAPACITY = {
    "slots": Work(32, 0.0, 90_000),
    "reading": Work(9, 500.0, 90_000),
    "memory": Work(9, 100.0, 170_000),
}


class Burst:
    """A dispatcher with queued requests, on simulated time."""

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

    def apply_peer_load(self, work):
        """Apply a peer digest that reports the same load for each engine."""
        works = {incarnation_number(*e.incarnation): work for e in self.engines}
        self.loads.on_digest("relay", works, self.now_ms)

    async def enqueue_burst(self):
        demands = [
            long(f"contract-{n}") if n % 2 else short(f"note-{n}")
            for n in range(N_WAITING)
        ]
        admitted = [
            AdmittedRequest(None, demand.route, None, demand, DEADLINE_MS)
            for demand in demands
        ]
        reservations = [
            asyncio.create_task(self.dispatcher.reserve(request, frozenset()))
            for request in admitted
        ]
        await asyncio.sleep(0)
        return reservations

    async def tick(self, n_ticks, work):
        for _ in range(n_ticks):
            self.now_ms += TICK_MS
            self.apply_peer_load(work)
            self.dispatcher.schedule_wake()
            await asyncio.sleep(0)

    def _choose(self, demand, upstreams, view):
        self.n_choices += 1
        return choose(demand, upstreams, view)


@pytest.mark.parametrize("work", NO_CAPACITY.values(), ids=NO_CAPACITY)
def test_queued_requests_evaluate_no_engine_without_capacity(monkeypatch, work):
    """No engine is evaluated for queued requests while none has capacity.

    In a burst, each tick evaluated 45 engines for a dozen queued requests.
    """

    async def main():
        burst = Burst(monkeypatch)
        burst.apply_peer_load(work)
        reservations = await burst.enqueue_burst()
        assert burst.dispatcher.n_waiting() == N_WAITING
        burst.n_choices = 0
        await burst.tick(N_TICKS, work)
        assert burst.n_choices == 0
        await burst.tick(N_TICKS, Work())
        assert burst.dispatcher.n_waiting() == 0
        placed = await asyncio.gather(*reservations)
        assert all(place.is_ok() for place in placed)

    asyncio.run(main())


def test_requests_that_wait_for_the_same_engines_look_for_them_once(monkeypatch):
    """In a burst of long prompts, half of the processor time went into their queue.

    Six of them were tried whenever it was looked at, while all engines for long prompts
    were full and the others idle.
    """
    n_looks = 0

    def count(*arguments):
        nonlocal n_looks
        n_looks += 1
        return find_candidates(*arguments)

    async def main():
        burst = Burst(monkeypatch)
        full = {
            incarnation_number(*e.incarnation): NO_CAPACITY["slots"]
            for e in long_prompt_engines(burst.engines).values()
        }
        burst.loads.on_digest("relay", full, burst.now_ms)
        reservations = [task for task in await burst.enqueue_burst() if not task.done()]
        assert len(reservations) == burst.dispatcher.n_waiting() >= N_WAITING // 2
        burst.n_choices = 0
        monkeypatch.setattr(dispatcher_module, "find_candidates", count)
        burst.dispatcher.schedule_wake()
        await asyncio.sleep(0)
        assert (burst.n_choices, n_looks) == (0, 1)
        for task in reservations:
            task.cancel()

    asyncio.run(main())


def test_dispatcher_sets_timers_only_while_requests_wait(monkeypatch):
    """An idle instance woke 50 times a second to look at empty queues."""
    n_timers = 0

    async def main():
        loop = asyncio.get_running_loop()
        call_at = loop.call_at

        def count(*arguments, **changes):
            nonlocal n_timers
            n_timers += 1
            return call_at(*arguments, **changes)

        async def assert_idle():
            n_before = n_timers
            for _ in range(5):
                await asyncio.sleep(0)
            assert n_timers == n_before

        monkeypatch.setattr(loop, "call_at", count)
        burst = Burst(monkeypatch)
        ticking = asyncio.create_task(burst.dispatcher.tick())
        await assert_idle()
        burst.apply_peer_load(NO_CAPACITY["slots"])
        reservations = await burst.enqueue_burst()
        # Only a tick notices that a peer's requests have ended.
        burst.apply_peer_load(Work())
        placed = await asyncio.gather(*reservations)
        assert all(place.is_ok() for place in placed)
        await assert_idle()
        ticking.cancel()

    asyncio.run(main())


def test_requests_whose_clients_are_gone_do_not_count_as_placed(monkeypatch):
    placed = []
    on_placed = WaitQueue.on_placed

    def count(self, demand, now_ms):
        placed.append(demand)
        on_placed(self, demand, now_ms)

    async def main():
        burst = Burst(monkeypatch)
        burst.apply_peer_load(NO_CAPACITY["slots"])
        reservations = await burst.enqueue_burst()
        for reservation in reservations[:-1]:
            reservation.cancel()
        burst.apply_peer_load(Work())
        # Before the cancelled requests leave the queue by themselves.
        burst.dispatcher._wake()
        results = await asyncio.gather(*reservations, return_exceptions=True)
        assert results[-1].is_ok()

    monkeypatch.setattr(WaitQueue, "on_placed", count)
    asyncio.run(main())
    assert len(placed) == 1


# Load: long prompts whose objective leaves time to wait. Factors from their times kept
# work from engines that had room.
@pytest.mark.parametrize(
    ("demand", "is_recorded"),
    [
        (tight_long(), True),
        (tight_long(objective_ms=MAX_OVERFLOW_OBJECTIVE_MS + 1.0), False),
        (short("note"), False),
    ],
    ids=["tight", "wide", "urgent"],
)
def test_times_of_engines_are_recorded_for_tight_objectives_only(
    monkeypatch, demand, is_recorded
):
    burst = Burst(monkeypatch)

    async def main():
        admitted = AdmittedRequest(None, demand.route, None, demand, DEADLINE_MS)
        reservation = (await burst.dispatcher.reserve(admitted, frozenset())).ok
        reservation.on_first_event(900.0, 900.0)
        times = burst.loads.times.combined([], 900.0)
        assert bool(times) == is_recorded

    asyncio.run(main())
