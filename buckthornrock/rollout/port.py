"""Interfaces of the rollout to the engines and to the gateway."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from expression import Result

from ..catalog.upstreams import Upstream
from ..scheduling.weights import WantedWeights
from .plan import Order, RolloutEngine


class EngineReport(NamedTuple):
    """Status that an engine reports.

    ``n_orders`` is the number of orders that it has accepted since its start.
    """

    versions: dict[str, int]
    is_busy: bool
    n_orders: int


class OrderAnswer(NamedTuple):
    """An engine's answer to an order."""

    status: int

    @property
    def is_accepted(self) -> bool:
        """Whether the engine carries out the order, or already had the version."""
        return self.status in (200, 202)


class EngineUnanswered(NamedTuple):
    """An engine gave no usable response; it may still carry out the order."""

    reason: str

    code = "engine-unanswered"


class FencingToken(NamedTuple):
    """Identifies the sender of an order and the engine state it was based on."""

    holder: str
    fence: int
    n_orders: int


class EnginePort(NamedTuple):
    """Functions that call engines; each blocks its thread.

    Parameters
    ----------
    report : callable
        ``report(upstream) -> Result[EngineReport, EngineUnanswered]``.
    order : callable
        ``order(order, fencing) -> Result[OrderAnswer, EngineUnanswered]``.
    """

    report: Callable[[Upstream], Result[EngineReport, EngineUnanswered]]
    order: Callable[[Order, FencingToken], Result[OrderAnswer, EngineUnanswered]]


class RolloutInputs(NamedTuple):
    """Input from the gateway: wanted versions and the engines of each model.

    ``wanted_since`` are the versions of each model that an engine's lag may count from,
    the newest last, and since when each is wanted in monotonic milliseconds.
    """

    wanted: dict[str, int]
    engines: dict[str, list[RolloutEngine]]
    wanted_since: Mapping[str, list[WantedWeights]] = {}


class RolloutCallbacks(NamedTuple):
    """Callbacks into the gateway; they are called on the rollout's thread.

    Parameters
    ----------
    on_loading : callable
        ``on_loading(upstream, model, version, duration_ms)``: the engine loads that
        version and takes no new work for about that time.
    on_loaded : callable
        ``on_loaded(upstream, model, version)``.
    """

    on_loading: Callable[[Upstream, str, int, float], None]
    on_loaded: Callable[[Upstream, str, int], None]
