"""Wires completions: admission, routing and dispatch."""

from ..admission import AdmissionPort
from ..dispatch import CompletionDispatcher
from ..membership import MembershipPort
from ..routing import RoutingPort
from ..routing.least_loaded import open_least_loaded
from .core import Core
from .fleet import FleetParts


def build_routing(core: Core, membership: MembershipPort) -> RoutingPort:
    """Wire the choice of an engine."""
    return open_least_loaded(core.settings.isolation_secret, core.rng)


def build_completions(
    core: Core,
    fleet: FleetParts,
    admission: AdmissionPort,
    routing: RoutingPort,
) -> CompletionDispatcher:
    """Wire the dispatcher of completions."""
    return CompletionDispatcher(
        admission,
        routing,
        fleet.fleet,
        fleet.engines,
        core.telemetry,
        core.clock.now_ms,
    )
