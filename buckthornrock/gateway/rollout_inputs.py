"""Collects the inputs for planning the rollout of weights from the fleet state."""

from ..catalog.upstreams import Upstream
from ..rollout.plan import RolloutEngine
from ..rollout.port import RolloutInputs
from .fleet_state import FleetState


def collect_rollout_inputs(fleet_state: FleetState, now_ms: float) -> RolloutInputs:
    """Return the wanted versions and the engines that can load them."""
    weights = fleet_state.weights
    newest = weights.models()
    wanted = {model: known.version for model, known in newest.items()}
    engines: dict[str, list[RolloutEngine]] = {model: [] for model in wanted}
    for upstream in fleet_state.directory.all():
        for model in upstream.weights_versions.keys() & wanted.keys():
            if upstream.is_draining:
                continue
            version = weights.loaded(upstream, model) or 0
            usable_for_ms = weights.usable_for_ms(upstream, model, now_ms)
            utilization = _utilization(fleet_state, upstream, now_ms)
            engines[model].append(
                RolloutEngine(upstream, version, utilization, usable_for_ms)
            )
    since = {
        model: [*weights.wanted_before(model, now_ms), known]
        for model, known in newest.items()
    }
    return RolloutInputs(wanted, engines, since)


def _utilization(fleet_state: FleetState, upstream: Upstream, now_ms: float) -> float:
    """Return the larger of the used shares of slots and of KV memory."""
    total = fleet_state.loads.total(upstream.incarnation, now_ms)
    table = fleet_state.configuration.table
    services = table.configuration.services if table else {}
    service = services.get(upstream.service)
    utilization = total.n_requests / max(1, upstream.n_slots)
    if service is None or service.engine is None:
        return utilization
    capacity = service.engine.kv_capacity_tokens
    return max(utilization, total.n_memory_tokens / max(1, capacity))
