"""What stewards work with and what they keep in mind of each engine."""

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
    """The lease of this instance.

    Parameters
    ----------
    lease_id : callable
        ``lease_id() -> int``, 0 if none is held.
    epoch : callable
        ``epoch() -> int``; rises with every grant.
    holds : callable
        ``holds(now_ms, margin_ms) -> bool``.
    """

    lease_id: Callable[[], int]
    epoch: Callable[[], int]
    holds: Callable[[float, float], bool]


class ControllerParts(NamedTuple):
    """What stewards work with.

    Parameters
    ----------
    live_ids : callable
        ``live_ids() -> tuple[str, ...]`` of instances.
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
    """What a steward last saw and decided of an engine."""

    upstream_id: str
    fencing: int
    last_order: str
    reason: str


class Slot(NamedTuple):
    """A held load slot."""

    key: str
    mod_revision: int
    epoch: int
    taken_at_ms: float
    is_roll: bool


class SlotDoubt(NamedTuple):
    """A slot that may have been taken, or may still be: the answer was lost."""

    epoch: int
    lease_id: int
    until_ms: float


class EngineState:
    """Mutable state of one engine's stewardship.

    ``handing_back`` is a stewardship that is no longer used, but whose key may still
    name this instance. ``free_revision`` is that of a key without a steward.
    """

    def __init__(self, settings: UpstreamSettings) -> None:
        self.settings = settings
        self.is_first = False
        self.leadership: Leadership | None = None
        self.handing_back: Leadership | None = None
        self.free_revision = 0
        self.slot: Slot | None = None
        self.slot_doubt: SlotDoubt | None = None
        self.slot_look_at_ms = 0.0
        self.n_orders = 0
        self.last_order = ""
        self.reason = ""
