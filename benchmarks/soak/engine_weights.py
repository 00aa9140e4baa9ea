"""The weights of an engine stand-in, and the orders to load others.

An order states the number of orders that the engine must have executed so far and the
fencing number of its sender. Both are compared when the order is executed.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from .record import Executed, Ordered, Record

IN_TIME, LATE, LOST, SLOW = "in-time", "late", "lost", "slow"
#: A late order is executed this long after it came. Its sender gives up after 0.6 s.
LATE_S = (1.0, 3.5)
LOAD_S = (0.4, 1.2)
ALREADY_LOADED, ACCEPTED, BUSY, PRECONDITION_FAILED = 200, 202, 409, 412


class OrderTrouble(NamedTuple):
    """What is wrong with an engine's orders.

    The response to a lost one isn't sent; a slow one loads until a point in time.
    """

    mode: str = IN_TIME
    slow_until_s: float = 0.0


class _Order(msgspec.Struct):
    version: int
    holder: str
    fence: int
    #: Number of orders that the engine must have executed so far.
    precondition: int


class EngineWeights:
    """Weights of one engine; they are replaced in place.

    Parameters
    ----------
    upstream_id : str
        Name of the engine.
    version : int
        Version that is loaded at the start.
    checks_fencing : bool
        Whether an order with a lower fencing number than an executed one is refused.
    record : Record
        Where orders are noted.
    on_loaded : callable
        Called when other weights are loaded.

    Attributes
    ----------
    trouble : OrderTrouble
        What is wrong with its orders.
    """

    def __init__(
        self,
        upstream_id: str,
        version: int,
        checks_fencing: bool,
        record: Record,
        on_loaded: Callable[[], None],
    ) -> None:
        self.version = version
        self.trouble = OrderTrouble()
        self._upstream_id, self._checks_fencing = upstream_id, checks_fencing
        self._record, self._on_loaded = record, on_loaded
        self._rng = random.Random(f"{upstream_id}/orders")
        self._n_received = self._n_executed = self._highest_fence = 0
        self._is_over = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._load: asyncio.TimerHandle | None = None

    def report(self) -> dict:
        """Return the part of the engine's report that concerns orders."""
        return {"busy": not self._idle.is_set(), "sequence": self._n_executed}

    async def wait_idle(self) -> None:
        """Wait until no weights are being loaded, unless that takes long."""
        if self.trouble.mode != SLOW:
            await self._idle.wait()

    async def execute(self, body: bytes) -> int | None:
        """Execute an order; return the status of the response, None for no response."""
        order = msgspec.json.decode(body, type=_Order)
        mode = self.trouble.mode
        self._n_received += 1
        order_id = f"{self._upstream_id}/order-{self._n_received}"
        self._record.note(
            Ordered(
                time.monotonic(),
                order_id,
                self._upstream_id,
                order.holder,
                order.fence,
                order.version,
            )
        )
        if mode == LATE:
            await asyncio.sleep(self._rng.uniform(*LATE_S))
        status = self._start_load(order, order_id)
        return None if mode == LOST or self._is_over else status

    def end(self) -> None:
        """End as the engine's process does, also while weights are being loaded."""
        self._is_over = True
        if self._load is not None:
            self._load.cancel()
        # Requests that wait find that the engine is gone.
        self._idle.set()

    def _start_load(self, order: _Order, order_id: str) -> int:
        if self._is_over or not self._idle.is_set():
            return BUSY
        if order.precondition != self._n_executed:
            return PRECONDITION_FAILED
        if self._checks_fencing and order.fence < self._highest_fence:
            return PRECONDITION_FAILED
        if order.version <= self.version:
            return ALREADY_LOADED
        self._highest_fence = max(self._highest_fence, order.fence)
        self._n_executed += 1
        self._record.note(Executed(time.monotonic(), order_id))
        self._idle.clear()
        loop = asyncio.get_running_loop()
        load_s = self._rng.uniform(*LOAD_S)
        load_s = max(load_s, self.trouble.slow_until_s - time.monotonic())
        self._load = loop.call_later(load_s, self._finish, order.version)
        return ACCEPTED

    def _finish(self, version: int) -> None:
        self.version = version
        self._idle.set()
        self._on_loaded()
