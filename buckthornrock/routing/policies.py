"""Creates the routing policy that the settings name."""

from .baselines import open_least_loaded, open_prefix_home, open_round_robin
from .cost import RoutingContext, open_cost
from .port import RoutingPort

_BASELINES = {
    "round_robin": open_round_robin,
    "least_loaded": open_least_loaded,
    "prefix_home": open_prefix_home,
}


def open_routing(context: RoutingContext) -> RoutingPort:
    """Return the routing policy that ``context.settings`` names."""
    baseline = _BASELINES.get(context.settings.policy)
    if baseline is None:
        return open_cost(context)
    return baseline(context.secret, context.rng)
