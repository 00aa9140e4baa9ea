"""Wires completions: admission, routing and dispatch."""

from ..admission import AdmissionPort
from ..dispatch import CompletionDispatcher
from ..dispatch.preparation import open_preparation
from ..routing import RoutingPort
from .core import Core
from .fleet import FleetParts


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
        fleet.relay,
        core.telemetry,
        core.clock.now_ms,
        open_preparation(
            routing,
            fleet.control.import_cache,
            core.settings.routing.cache_store,
            core.clock,
        ),
    )
