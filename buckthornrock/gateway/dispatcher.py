"""Queues requests for upstream capacity and accounts for reserved work."""

import asyncio
import functools
import itertools
import math
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..catalog.upstreams import Upstream, UpstreamDirectory
from ..scheduling.capacity import has_capacity, may_fit, may_serve
from ..scheduling.choice import (
    candidates_key,
    choose,
    find_candidates,
    options,
)
from ..scheduling.loads import FleetLoads, LoadReport, Work
from ..scheduling.long_prompts import has_tight_objective
from ..scheduling.placement import (
    Demand,
    NoCapacity,
    Obstacle,
    Placement,
    SchedulingView,
)
from ..scheduling.wait_queue import (
    MIN_SERVICE_MS,
    QueuedRequest,
    WaitQueue,
    will_miss_deadline,
)
from .ports import ReportedLoad
from .requests import AdmittedRequest, QueueSnapshot, Refusal

#: Period of looking for capacity that peers released. An instance's own releases wake
#: its queues directly; releases of peers' requests are only noticed by this poll.
TICK_MS = 20.0
#: Bounds of the Retry-After of refused requests.
MIN_RETRY_AFTER_MS = 200.0
MAX_RETRY_AFTER_MS = 3_000.0
#: Retry-After while a service has no usable upstream.
NO_UPSTREAM_RETRY_MS = 500.0


class Reservation:
    """Capacity that one request holds at one upstream until it is released.

    The time to the first event tells how fast an engine is. It is recorded only for
    prompts with a tight objective, as services without any need not tell engines apart.

    Attributes
    ----------
    placement : Placement
        The chosen upstream and the work that the request causes there.
    """

    def __init__(
        self,
        demand: Demand,
        placement: Placement,
        loads: FleetLoads,
        on_released: Callable[[], None],
    ) -> None:
        self.placement = placement
        self._records_time = has_tight_objective(demand)
        self._load = loads.of(placement.upstream.incarnation)
        self._times = loads.times
        self._remaining = placement.work
        self._on_released = on_released
        self._load.own = self._load.own.plus(placement.work)

    def on_first_event(self, elapsed_ms: float, now_ms: float) -> None:
        """Release the prefill work: the first event shows that it is done.

        The request was sent ``elapsed_ms`` ago.
        """
        prefill_ms = self._remaining.prefill_ms
        if not prefill_ms:
            return
        if self._records_time:
            placement = self.placement
            expected_ms = placement.queued_prefill_ms + placement.fetch_ms + prefill_ms
            incarnation = placement.upstream.incarnation
            self._times.add(incarnation, expected_ms, elapsed_ms, now_ms)
        self._subtract(Work(prefill_ms=prefill_ms))

    def release(self) -> None:
        """Release all remaining work; the request has left the upstream."""
        self._subtract(self._remaining)

    def _subtract(self, work: Work) -> None:
        if not any(work):
            return
        self._remaining = self._remaining.minus(work)
        self._load.own = self._load.own.minus(work)
        self._on_released()


class ExpectedWait(NamedTuple):
    """A request waits in the queue, for about ``wait_ms``."""

    wait_ms: float


#: What is decided on a request when it arrives.
Decision = Placement | ExpectedWait | Refusal
#: ``find(queued)`` returns the upstreams one of which must fit for a placement.
FindCandidates = Callable[[QueuedRequest], list[Upstream]]


class Preview(NamedTuple):
    """What would be decided on a request now.

    ``options`` are the upstreams that requests may be sent to. ``view`` is the copy of
    the state that the decision was made on.
    """

    decision: Decision
    options: list[tuple[Upstream, Placement | Obstacle]]
    n_waiting: int
    view: SchedulingView


class Dispatcher:
    """Reserves upstream capacity for requests, with a wait queue for each service."""

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
        self._queues: dict[str, WaitQueue] = defaultdict(WaitQueue)
        self._futures: dict[int, asyncio.Future[Reservation | Refusal]] = {}
        self._excluded: dict[int, frozenset[str]] = {}
        self._numbers = itertools.count()
        self._is_wake_scheduled = False
        self._has_waiting = asyncio.Event()

    async def reserve(
        self, admitted: AdmittedRequest, excluded: frozenset[str]
    ) -> Result[Reservation, Refusal]:
        """Reserve capacity for a request, waiting in the queue if there is none.

        Excluded upstreams are only used if no other upstream is usable. Upstreams that
        leave or want quiet are not used at all.

        Returns
        -------
        Result
            A reservation that the caller must release, or a refusal if none can be
            had before the deadline of the request.
        """
        demand = admitted.demand
        queue = self._queues[demand.service.name]
        now_ms = self._now_ms()
        queued = QueuedRequest(next(self._numbers), demand, now_ms, admitted.ends_at_ms)
        queue.on_arrived(demand, now_ms)
        decision = self._decide(queued, excluded, queue)
        if isinstance(decision, Placement):
            queue.on_placed(demand, now_ms)
            return Ok(self._reserve_at(demand, decision))
        if isinstance(decision, Refusal):
            return Error(decision)
        return await self._wait(queued, excluded, queue)

    def preview(self, demand: Demand, ends_at_ms: float) -> Preview:
        """Return what would be decided on a request that arrives now.

        It is decided on a copy, so that nothing here changes.
        """
        return self._snapshot(demand.service.name)._preview(demand, ends_at_ms)

    def _snapshot(self, service: str) -> "Dispatcher":
        """Return a copy of the state that decisions on one service use."""
        view = self._view()
        view = view._replace(loads=view.loads.snapshot())
        copied = Dispatcher(
            self._directory, view.loads, lambda: view, lambda: view.now_ms
        )
        if service in self._queues:
            copied._queues[service] = self._queues[service].snapshot()
        return copied

    def _preview(self, demand: Demand, ends_at_ms: float) -> Preview:
        queue, view = self._queues[demand.service.name], self._view()
        queued = QueuedRequest(next(self._numbers), demand, view.now_ms, ends_at_ms)
        return Preview(
            self._decide(queued, frozenset(), queue),
            options(demand, self._sendable(demand.service.name), view),
            len(queue),
            view,
        )

    def _decide(
        self, queued: QueuedRequest, excluded: frozenset[str], queue: WaitQueue
    ) -> Decision:
        """Return whether a request that arrives is placed, waits or is refused."""
        demand, now_ms = queued.demand, queued.enqueued_at_ms
        if not queue.has_ahead_of(demand):
            placement = self._choose(demand, excluded)
            if isinstance(placement, Placement):
                return placement
            if not placement.n_usable and not self._serving(demand):
                snapshot = QueueSnapshot(0, len(queue), NO_UPSTREAM_RETRY_MS)
                return _refusal("no upstream is in service", snapshot)
        quiet_ms = self._quiet_ms(demand)
        wait_ms = max(quiet_ms, queue.expected_wait_ms(queued, now_ms))
        if will_miss_deadline(queued, wait_ms, now_ms):
            snapshot = self._queue_snapshot(demand, wait_ms)
            reason = "no capacity is expected before the deadline"
            return _refusal(reason, snapshot, quiet_ms)
        return ExpectedWait(wait_ms)

    def has_usable(self, demand: Demand, excluded: frozenset[str]) -> bool:
        """Return whether an upstream that is not excluded could serve the request."""
        usable = self._sendable(demand.service.name)
        return any(upstream.upstream_id not in excluded for upstream in usable)

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent to an upstream that was reserved."""
        notices = self._directory.notices
        return notices.may_send(upstream.incarnation, self._now_ms())

    def may_fetch_from(self, address: str) -> bool:
        """Return whether cached parts may be fetched from an engine or prompt store."""
        if not len(self._directory.notices):
            return True
        notices, now_ms = self._directory.notices, self._now_ms()
        return all(
            notices.may_fetch(upstream.incarnation, now_ms)
            for upstream in self._directory.all()
            if upstream.address == address
        )

    def service_quiet_ms(self, service: str) -> float:
        """Return for how long no upstream of a service takes requests.

        Infinite if all of them leave, 0 if there is none.
        """
        notices = self._directory.notices
        if not len(notices):
            return 0.0
        listed = [u for u in self._directory.all() if u.service == service]
        ready = [u.incarnation for u in listed if not u.is_draining]
        if not ready:
            return 0.0
        return notices.time_to_return_ms(ready, self._now_ms())

    def on_load_report(self, upstream: Upstream, load: ReportedLoad) -> None:
        """Record the load that an upstream reported in a response header."""
        state = self.loads.of(upstream.incarnation)
        state.report = LoadReport(
            load.n_running,
            load.n_waiting,
            load.n_slots,
            self._now_ms(),
            load.pace_percent,
        )

    def block(self, upstream: Upstream, duration_ms: float) -> None:
        """Send no new requests to an upstream for ``duration_ms``."""
        state = self.loads.of(upstream.incarnation)
        until_ms = self._now_ms() + duration_ms
        state.blocked_until_ms = max(state.blocked_until_ms, until_ms)

    def n_waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def schedule_wake(self) -> None:
        """Try to place queued requests in the next iteration of the event loop.

        Calls until then are coalesced into one pass over the queues.
        """
        if self._is_wake_scheduled or not self._futures:
            return
        self._is_wake_scheduled = True
        asyncio.get_running_loop().call_soon(self._wake)

    def end_by(self, at_ms: float) -> None:
        """Let no queued request wait for longer than until ``at_ms``."""
        for queue in self._queues.values():
            queue.end_by(at_ms)

    def refuse_ending_at(self, at_ms: float, refusal: Refusal) -> None:
        """Refuse the queued requests whose deadline is ``at_ms`` or later."""
        for queue in self._queues.values():
            for queued in queue.ending_at(at_ms):
                if future := self._take_from(queue, queued):
                    future.set_result(refusal)

    async def tick(self) -> None:
        """Periodically place queued requests and refuse those that will be late.

        It sleeps while none waits: 50 timers a second are a large part of what an idle
        instance costs.
        """
        while True:
            if not self._futures:
                self._has_waiting.clear()
                await self._has_waiting.wait()
            await asyncio.sleep(TICK_MS / 1000.0)
            self.schedule_wake()
            self._refuse_late()

    async def _wait(
        self, queued: QueuedRequest, excluded: frozenset[str], queue: WaitQueue
    ) -> Result[Reservation, Refusal]:
        future = asyncio.get_running_loop().create_future()
        self._futures[queued.number] = future
        self._excluded[queued.number] = excluded
        queue.enqueue(queued)
        self._has_waiting.set()
        limit_ms = queued.deadline_at_ms - MIN_SERVICE_MS - self._now_ms()
        reservation = None
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / 1000.0):
                result = await future
            if isinstance(result, Refusal):
                return Error(result)
            reservation = result
            return Ok(reservation)
        except TimeoutError:
            snapshot = self._queue_snapshot(queued.demand, MIN_RETRY_AFTER_MS)
            return Error(_refusal("no capacity became free in time", snapshot))
        finally:
            del self._futures[queued.number], self._excluded[queued.number]
            if reservation is None:
                queue.remove(queued.number)
                _release_unused(future)

    def _wake(self) -> None:
        self._is_wake_scheduled = False
        for name, queue in self._queues.items():
            queue.discard(lambda number: self._futures[number].done())
            if not len(queue):
                continue
            view = self._view()
            if any(has_capacity(u, view) for u in self._sendable(name)):
                try_reserve = functools.partial(
                    self._try_reserve, self._candidate_finder()
                )
                queue.place_in_order(try_reserve, self._now_ms())

    def _candidate_finder(self) -> FindCandidates:
        """Return a function that looks for candidates once for all with the same ones.

        In a burst, most requests that wait have no candidate. What is placed meanwhile
        leaves fewer candidates, never more.
        """
        found: dict[tuple, list[Upstream]] = {}

        def find(queued: QueuedRequest) -> list[Upstream]:
            demand, excluded = queued.demand, self._excluded[queued.number]
            key = (candidates_key(demand), excluded)
            if key not in found:
                upstreams = self._not_excluded(demand, excluded)
                found[key] = find_candidates(demand, upstreams, self._view())
            return found[key]

        return find

    def _refuse_late(self) -> None:
        """Refuse queued requests as soon as they can no longer be placed in time."""
        now_ms = self._now_ms()
        for name, queue in self._queues.items():
            if not len(queue):
                continue
            quiet_ms = self.service_quiet_ms(name)
            if quiet_ms:
                # Nothing is placed meanwhile, which is no sign of little capacity.
                queue.restart_rates(now_ms)
            for queued, wait_ms in queue.predict_missed_deadlines(now_ms, quiet_ms):
                if future := self._take_from(queue, queued):
                    reason = "no capacity is expected before the deadline any more"
                    snapshot = self._queue_snapshot(queued.demand, wait_ms)
                    future.set_result(_refusal(reason, snapshot, quiet_ms))

    def _take_from(
        self, queue: WaitQueue, queued: QueuedRequest
    ) -> asyncio.Future[Reservation | Refusal] | None:
        """Remove a request that is to be refused; None if it has ended meanwhile."""
        future = self._futures.get(queued.number)
        if future is None or future.done():
            return None
        queue.remove(queued.number)
        return future

    def _try_reserve(self, find: FindCandidates, queued: QueuedRequest) -> bool:
        if not may_fit(queued.demand, find(queued), self._view()):
            return False
        placement = self._choose(queued.demand, self._excluded[queued.number])
        if isinstance(placement, NoCapacity):
            return False
        self._futures[queued.number].set_result(
            self._reserve_at(queued.demand, placement)
        )
        return True

    def _choose(
        self, demand: Demand, excluded: frozenset[str]
    ) -> Placement | NoCapacity:
        return choose(demand, self._not_excluded(demand, excluded), self._view())

    def _not_excluded(self, demand: Demand, excluded: frozenset[str]) -> list[Upstream]:
        usable = self._sendable(demand.service.name)
        return [u for u in usable if u.upstream_id not in excluded] or usable

    def _sendable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that requests may be sent to now."""
        usable = self._directory.usable(service)
        if not len(self._directory.notices):
            return usable
        return [upstream for upstream in usable if self.may_send(upstream)]

    def _quiet_ms(self, demand: Demand) -> float:
        """Return for how long no upstream that could serve a request takes any."""
        notices = self._directory.notices
        if not len(notices):
            return 0.0
        serving = [upstream.incarnation for upstream in self._serving(demand)]
        if not serving:
            return self.service_quiet_ms(demand.service.name)
        return notices.time_to_return_ms(serving, self._now_ms())

    def _serving(self, demand: Demand) -> list[Upstream]:
        """Return the upstreams that could serve a request, now or later."""
        usable = self._directory.usable(demand.service.name)
        view = self._view()
        return [u for u in usable if may_serve(demand, u, view)]

    def _queue_snapshot(self, demand: Demand, wait_ms: float) -> QueueSnapshot:
        name = demand.service.name
        n_usable = len(self._directory.usable(name))
        return QueueSnapshot(n_usable, len(self._queues[name]), wait_ms)

    def _reserve_at(self, demand: Demand, placement: Placement) -> Reservation:
        return Reservation(demand, placement, self.loads, self.schedule_wake)


def _release_unused(future: asyncio.Future[Reservation | Refusal]) -> None:
    """Release a reservation that was made just as the client disconnected."""
    if (
        future.done()
        and not future.cancelled()
        and isinstance(future.result(), Reservation)
    ):
        future.result().release()


def _refusal(reason: str, snapshot: QueueSnapshot, quiet_ms: float = 0.0) -> Refusal:
    """Return a refusal that asks the client to come back when there may be capacity.

    The expected wait is an estimate and bounded; a quiet time is known, if finite.
    """
    retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, snapshot.wait_ms))
    if math.isfinite(quiet_ms):
        retry_after_ms = max(retry_after_ms, quiet_ms)
    return Refusal(503, "no-place", reason, retry_after_ms, snapshot)
