"""Wires completions: admission, routing and dispatch."""

from ..admission import AdmissionPort
from ..dispatch import CompletionDispatcher
from ..dispatch.attempts import AttemptContext
from ..dispatch.continuation import EventIds
from ..dispatch.preparation import open_cache_preparation
from ..routing import RoutingPort
from .core import Core
from .fleet import FleetParts


def build_completions(
    core: Core,
    fleet: FleetParts,
    admission: AdmissionPort,
    routing: RoutingPort,
    event_ids: EventIds,
) -> CompletionDispatcher:
    """Wire the dispatcher of completions."""
    preparation = open_cache_preparation(
        routing,
        fleet.control.import_cache,
        core.settings.routing.cache_store,
        core.clock,
    )
    context = AttemptContext(
        routing=routing,
        fleet=fleet.fleet,
        engines=fleet.engines,
        control=fleet.control,
        relay=fleet.relay,
        preparation=preparation,
        event_ids=event_ids,
        telemetry=core.telemetry,
        now_ms=core.clock.now_ms,
    )
    return CompletionDispatcher(admission, context, core.clock.sleep_ms, core.rng)
