"""Replays a load against a dispatcher on simulated time, without sockets.

Upstreams answer each request when its work is done, and say in the answer that they
leave, or refuse it and ask for quiet, as their schedule tells.
"""

import asyncio
import math
import random
from typing import NamedTuple

from buckthornrock.catalog.upstreams import Upstream, UpstreamDirectory
from buckthornrock.gateway.dispatcher import TICK_MS, Dispatcher
from buckthornrock.gateway.requests import AdmittedRequest
from buckthornrock.scheduling.loads import FleetLoads
from tests.scheduling.world import plain, view

N_UPSTREAMS = 12
N_SLOTS = 8
WORK_MS = (60.0, 240.0)
#: Requests for each tick, about 55% of what all upstreams serve.
N_PER_TICK = 7
#: Turns of the event loop in a tick, enough for each task to go on.
N_TURNS = 6


class Quiet(NamedTuple):
    """A time within which an upstream refuses all requests."""

    from_ms: float
    until_ms: float


class Outcome(NamedTuple):
    """How a request ended; ``retry_after_ms`` is None if it was served."""

    sent_at_ms: float
    ended_at_ms: float
    retry_after_ms: float | None


class NoticesWorld:
    """A dispatcher, its upstreams with their schedules, and what they received.

    Attributes
    ----------
    leaves_at_ms : dict
        From when on each leaving upstream says so.
    quiet : dict
        When each quiet upstream refuses requests.
    n_sent_after_notice : int
        Requests that reached an upstream which had said before that it leaves, or
        that reached it within a quiet time it had asked for.
    """

    def __init__(self, seed: int) -> None:
        self.now_ms = 0.0
        self.leaves_at_ms: dict[str, float] = {}
        self.quiet: dict[str, Quiet] = {}
        self.n_sent_after_notice = 0
        self.outcomes: list[Outcome] = []
        self.upstreams = [_upstream(number) for number in range(N_UPSTREAMS)]
        self._not_before_ms: dict[str, float] = {}
        self._rng = random.Random(seed)
        self._directory = UpstreamDirectory()
        self._directory.replace(self.upstreams, 1, 0.0)
        self._loads = FleetLoads()
        self._dispatcher = Dispatcher(
            self._directory,
            self._loads,
            lambda: view(self.now_ms, loads=self._loads),
            lambda: self.now_ms,
        )
        self._tick = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    async def run(self, duration_ms: float, deadline_ms: float) -> None:
        """Replay requests for a time, then let the last ones end."""
        while self.now_ms < duration_ms:
            for _ in range(N_PER_TICK):
                self._start(deadline_ms)
            await self._advance()
        while any(not task.done() for task in self._tasks):
            await self._advance()
        for task in self._tasks:
            task.result()

    def served_share(self) -> float:
        """Return the share of the requests that were served."""
        n_served = sum(outcome.retry_after_ms is None for outcome in self.outcomes)
        return n_served / len(self.outcomes)

    def refusals(self) -> list[Outcome]:
        """Return the requests that were refused."""
        return [o for o in self.outcomes if o.retry_after_ms is not None]

    def _start(self, deadline_ms: float) -> None:
        demand = plain()
        admitted = AdmittedRequest(
            None, demand.route, None, demand, self.now_ms + deadline_ms
        )
        self._tasks.add(asyncio.create_task(self._serve(admitted)))

    async def _advance(self) -> None:
        self.now_ms += TICK_MS
        self._dispatcher.schedule_wake()
        self._dispatcher._refuse_late()
        tick, self._tick = self._tick, asyncio.Event()
        tick.set()
        for _ in range(N_TURNS):
            await asyncio.sleep(0)

    async def _serve(self, admitted: AdmittedRequest) -> None:
        sent_at_ms = self.now_ms
        excluded: frozenset[str] = frozenset()
        while True:
            reserved = await self._dispatcher.reserve(admitted, excluded)
            if reserved.is_error():
                retry_after_ms = reserved.error.retry_after_ms
                outcome = Outcome(sent_at_ms, self.now_ms, retry_after_ms)
                self.outcomes.append(outcome)
                return
            reservation = reserved.ok
            upstream = reservation.placement.upstream
            if not self._dispatcher.may_send(upstream):
                reservation.release()
                continue
            is_served = await self._reach(upstream)
            reservation.release()
            if is_served:
                self.outcomes.append(Outcome(sent_at_ms, self.now_ms, None))
                return
            excluded |= {upstream.upstream_id}

    async def _reach(self, upstream: Upstream) -> bool:
        """Let an upstream work on a request or refuse it; return whether it worked."""
        name, notices = upstream.upstream_id, self._directory.notices
        self.n_sent_after_notice += self.now_ms < self._not_before_ms.get(name, 0.0)
        quiet = self.quiet.get(name)
        if quiet and quiet.from_ms <= self.now_ms < quiet.until_ms:
            quiet_ms = quiet.until_ms - self.now_ms
            notices.on_quiet(upstream.incarnation, quiet_ms, self.now_ms)
            self._not_before_ms[name] = quiet.until_ms
            return False
        ends_at_ms = self.now_ms + self._rng.uniform(*WORK_MS)
        while self.now_ms < ends_at_ms:
            await self._tick.wait()
        if self.now_ms >= self.leaves_at_ms.get(name, math.inf):
            notices.on_leaving(upstream.incarnation, self.now_ms)
            self._not_before_ms[name] = math.inf
        return True


def _upstream(number: int) -> Upstream:
    return Upstream(
        upstream_id=f"t{number}",
        service="till",
        address=f"10.0.0.{number}:80",
        failure_domain="abc"[number % 3],
        is_draining=False,
        started_ms=1,
        n_slots=N_SLOTS,
        weights_versions={},
    )
