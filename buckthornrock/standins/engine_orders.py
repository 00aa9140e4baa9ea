"""The ``/orders`` interface of an emulated engine."""

import threading
from typing import Literal

import msgspec

from ..httpd import Exchange
from ..upstreams.order_messages import EngineOrder, EngineOrderState, OrderRefusal
from .engine import Served

LOAD_TIME_MS = 2_500.0


class LoadGate:
    """How long loads take when several engines load at once; shared by them.

    Attributes
    ----------
    n_most : int
        The most engines that have loaded at once.

    Parameters
    ----------
    n_undelayed : int
        Engines that may load at once without slowing each other.
    load_time_ms : float
        Time of an undelayed load.
    """

    def __init__(self, n_undelayed: int, load_time_ms: float = LOAD_TIME_MS) -> None:
        self.n_most = 0
        self._n_undelayed = n_undelayed
        self._load_time_ms = load_time_ms
        self._lock = threading.Lock()
        self._ends_ms: dict[int, float] = {}

    def begin(self, loader: int, now_ms: float) -> float:
        """Note the start of a load; return when it ends."""
        with self._lock:
            self._ends_ms = {
                other: end_ms
                for other, end_ms in self._ends_ms.items()
                if end_ms > now_ms and other != loader
            }
            n_loading = len(self._ends_ms) + 1
            slowdown = max(1.0, n_loading / self._n_undelayed)
            end_ms = now_ms + self._load_time_ms * slowdown
            self._ends_ms[loader] = end_ms
            self.n_most = max(self.n_most, n_loading)
            return end_ms

    def abort(self, loader: int) -> None:
        """Note that a loader died."""
        with self._lock:
            self._ends_ms.pop(loader, None)


class EngineOrders:
    """What one engine has been ordered to have.

    Attributes
    ----------
    taken : list of EngineOrder
        Every order that was taken, oldest first.

    Parameters
    ----------
    gate : LoadGate
        Shared with the engines of the same weight store.
    served : Served
        What it serves at first.
    checks_fencing : bool
        Whether it refuses an order with a lower fencing number than it has seen.
    now_ms : callable
        Monotonic clock.
    """

    def __init__(
        self, gate: LoadGate, served: Served, checks_fencing: bool, now_ms: object
    ) -> None:
        self.taken: list[EngineOrder] = []
        self._gate = gate
        self._checks_fencing = checks_fencing
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._served = served
        self._role = ""
        self._highest_fencing = 0
        self._last_order_id = ""
        self._loading: EngineOrder | None = None
        self._loaded_at_ms = 0.0

    def handle(self, exchange: Exchange) -> None:
        """Answer a call to ``/orders``."""
        now_ms = self._now_ms()
        if exchange.method != "POST":
            exchange.respond_json(200, self.state(now_ms))
            return
        raw = exchange.read_body().default_value(b"")
        try:
            order = msgspec.json.decode(raw, type=EngineOrder)
        except msgspec.DecodeError as error:
            exchange.respond_json(400, {"error": str(error)})
            return
        refusal = self.take(order, now_ms)
        if refusal is not None:
            exchange.respond_json(409, refusal)
            return
        exchange.respond_json(200, {"state": "taken"})

    def take(self, order: EngineOrder, now_ms: float) -> OrderRefusal | None:
        """Take an order, or return why it is refused."""
        with self._lock:
            if self._checks_fencing and order.fencing < self._highest_fencing:
                return OrderRefusal(self._highest_fencing)
            self._highest_fencing = max(self._highest_fencing, order.fencing)
            self._finish_load(now_ms)
            self.taken.append(order)
            self._last_order_id = order.order_id
            self._apply(order, now_ms)
        return None

    def state(self, now_ms: float) -> EngineOrderState:
        """Return what the engine has and does."""
        with self._lock:
            self._finish_load(now_ms)
            loading = self._loading
            return EngineOrderState(
                highest_fencing=self._highest_fencing,
                loading=loading.weights_version if loading else "",
                models=self._served.models,
                weights_version=self._served.weights_version,
                adapters=self._served.adapters,
                role=self._role,
                last_order_id=self._last_order_id,
            )

    def served(self, now_ms: float) -> Served:
        """Return what is served now."""
        with self._lock:
            self._finish_load(now_ms)
            return self._served._replace(is_loading=self._loading is not None)

    def restart(self, now_ms: float) -> None:
        """Come back empty, as after a crash."""
        with self._lock:
            self._gate.abort(id(self))
            self._served = Served((), "")
            self._loading = None
            self._role = ""
            self._highest_fencing = 0
            self._last_order_id = ""

    def _apply(self, order: EngineOrder, now_ms: float) -> None:
        kind: Literal["load", "adapter", "role"] = order.kind
        if kind == "load" and not self._has(order):
            self._loading = order
            self._loaded_at_ms = self._gate.begin(id(self), now_ms)
            # The old weights leave the accelerator before the new ones arrive.
            self._served = Served((), "")
        if kind == "adapter":
            adapters = {*self._served.adapters, order.adapter}
            self._served = self._served._replace(adapters=tuple(sorted(adapters)))
        if kind == "role":
            self._role = order.role

    def _has(self, order: EngineOrder) -> bool:
        loading = self._loading
        if loading is not None:
            return loading.weights_version == order.weights_version
        is_version = self._served.weights_version == order.weights_version
        return is_version and order.model in self._served.models

    def _finish_load(self, now_ms: float) -> None:
        if self._loading is None or now_ms < self._loaded_at_ms:
            return
        order, self._loading = self._loading, None
        self._served = Served((order.model,), order.weights_version)
