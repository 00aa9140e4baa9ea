"""Dependencies of the engine controller and its state of each engine."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..conf.settings import UpstreamSettings
from ..store import KvPort
from ..telemetry import Telemetry
from ..upstreams.order_client import OrderClient
from .leadership import Leadership
from .placement_store import PlacementStore
from .reconciler import EngineSummary


class LeasePort(NamedTuple):
    """Access to the lease of this instance.

    Parameters
    ----------
    lease_id : callable
        ``lease_id() -> int``, 0 if none is held.
    epoch : callable
        ``epoch() -> int``; rises with every grant of a lease.
    holds : callable
        ``holds(now_ms, margin_ms) -> bool``.
    """

    lease_id: Callable[[], int]
    epoch: Callable[[], int]
    holds: Callable[[float, float], bool]


class ControllerParts(NamedTuple):
    """Dependencies of the engine controller.

    Parameters
    ----------
    live_ids : callable
        ``live_ids() -> tuple[str, ...]``, the live instances.
    summaries : callable
        ``summaries(placement) -> list[EngineSummary]`` from load reports.
    """

    instance_id: str
    kv: KvPort
    lease: LeasePort
    client: OrderClient
    placements: PlacementStore
    live_ids: Callable[[], tuple[str, ...]]
    summaries: Callable[[object], Sequence[EngineSummary]]
    telemetry: Telemetry
    now_ms: Callable[[], float]
    sleep_ms: Callable[[float], None]
    rng: random.Random


class LeadershipView(NamedTuple):
    """Last order for an engine that this instance leads, and the last decision."""

    upstream_id: str
    fencing: int
    last_order: str
    reason: str


class Slot(NamedTuple):
    """A load slot that this instance holds."""

    key: str
    mod_revision: int
    epoch: int
    taken_at_ms: float
    is_roll: bool


class UnresolvedSlot(NamedTuple):
    """An acquisition of a slot whose answer was lost.

    It may have taken effect, or may still do so until ``until_ms``.
    """

    epoch: int
    lease_id: int
    until_ms: float


class EngineState:
    """Mutable state of the controller for one engine.

    ``handing_back`` is a leadership that is no longer used, but whose key may still
    name this instance. ``free_revision`` is the revision of a key that names no leader,
    0 if there is no such key.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self.is_preferred = False
        self.leadership: Leadership | None = None
        self.handing_back: Leadership | None = None
        self.free_revision = 0
        self.slot: Slot | None = None
        self.unresolved_slot: UnresolvedSlot | None = None
        self.next_slot_read_at_ms = 0.0
        self.n_orders = 0
        self.last_order = ""
        self.reason = ""
