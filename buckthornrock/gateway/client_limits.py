"""Enforces the limits on what clients hold, and reports what each limit refused."""

from collections import Counter
from collections.abc import Callable

from ..events import gateway as events
from ..telemetry import Telemetry
from ..telemetry.metrics import GATEWAY_HELD_BYTES, GATEWAY_LIMITED
from .memory_budget import CONNECTION_BYTES, Holding, MemoryBudget

#: Labels of the limits in metrics and log lines.
MEMORY = "memory"
CONNECTIONS = "connections"
HEAD_BYTES = "head_bytes"
BODY_BYTES = "body_bytes"
ARRIVAL_TIME = "arrival_time"
UNREAD_RESPONSE = "unread_response"
#: A limit is logged at most once in this time.
REPORT_PERIOD_MS = 5_000.0


class ClientLimitsEnforcer:
    """Makes connections give way when their memory or their number is exhausted.

    Attributes
    ----------
    budget : MemoryBudget
        What the connections hold.
    """

    def __init__(
        self, budget: MemoryBudget, now_ms: Callable[[], float], telemetry: Telemetry
    ) -> None:
        self.budget = budget
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._unreported: Counter[str] = Counter()
        self._last_address: dict[str, str] = {}
        self._reported_at_ms: dict[str, float] = {}

    def open(self, owner: object, address: str) -> Holding:
        """Begin to account for a connection; another one may have to give way."""
        holding = self.budget.open(owner, address, self._now_ms())
        if self.budget.is_over_connections:
            self._close(self.budget.pick_for_connections(self._now_ms()), CONNECTIONS)
        return holding

    def hold(self, holding: Holding, n_bytes: int) -> None:
        """Record what a connection holds; the largest have to give way if needed."""
        self.budget.hold(holding, n_bytes)
        if self.budget.is_over_memory:
            self._free_memory()

    def count(self, limit: str, address: str) -> None:
        """Count a client that was refused or closed because of a limit."""
        self._telemetry.metrics.incr(GATEWAY_LIMITED, label=limit)
        self._unreported[limit] += 1
        self._last_address[limit] = address
        self._report(limit)

    def report(self) -> None:
        """Log what was counted since the last line of each limit, if it is due."""
        for limit in list(self._unreported):
            self._report(limit)

    def record_metrics(self) -> None:
        """Set the gauge of what is held."""
        self._telemetry.metrics.gauge(GATEWAY_HELD_BYTES, self.budget.n_bytes)

    def _free_memory(self) -> None:
        while self.budget.is_over_memory:
            holding = self.budget.pick_for_memory(self._now_ms())
            if holding is None:
                return
            # What it holds is released at once or, with its task, very soon.
            if holding.n_bytes > CONNECTION_BYTES:
                self.budget.hold(holding, CONNECTION_BYTES)
                self.count(MEMORY, holding.address)
                holding.owner.give_way()
            else:
                self._close(holding, MEMORY)

    def _close(self, holding: Holding, limit: str) -> None:
        owner = holding.owner
        self.budget.close(holding)
        self.count(limit, holding.address)
        owner.close_now()

    def _report(self, limit: str) -> None:
        now_ms = self._now_ms()
        reported_at_ms = self._reported_at_ms.get(limit)
        if reported_at_ms is not None and now_ms - reported_at_ms < REPORT_PERIOD_MS:
            return
        self._reported_at_ms[limit] = now_ms
        self._telemetry.log(
            events.CLIENTS_LIMITED,
            limit=limit,
            n_clients=self._unreported.pop(limit),
            address=self._last_address[limit],
            n_held_bytes=self.budget.n_bytes,
            n_connections=self.budget.n_connections,
        )
