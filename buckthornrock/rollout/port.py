"""What the rollout needs of the engines and of the gateway."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..catalog.upstreams import Upstream
from .plan import Order, RolloutEngine


class EngineReport(NamedTuple):
    """What an engine says of itself.

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
        """Whether the order is being carried out, or holds already."""
        return self.status in (200, 202)


class EngineUnanswered(NamedTuple):
    """An engine gave no usable answer; an order may be carried out all the same."""

    reason: str

    code = "engine-unanswered"


class FencingToken(NamedTuple):
    """Who gives an order, and on which state of the engine it rests."""

    holder: str
    fence: int
    n_orders: int


class EnginePort(NamedTuple):
    """Functions that speak with engines; each blocks its thread.

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
    """What the gateway knows: wanted versions, and the engines of each model."""

    wanted: dict[str, int]
    engines: dict[str, list[RolloutEngine]]


class RolloutCallbacks(NamedTuple):
    """What the rollout tells the gateway; called on the rollout's thread.

    Parameters
    ----------
    on_loading : callable
        ``on_loading(upstream, model, version, duration_ms)``: the engine loads that
        version and takes no new work.
    on_loaded : callable
        ``on_loaded(upstream, model, version)``.
    """

    on_loading: Callable[[Upstream, str, int, float], None]
    on_loaded: Callable[[Upstream, str, int], None]
