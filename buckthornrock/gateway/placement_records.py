"""Records in the fleet state what placed requests tell of engines and prompt stores."""

from ..scheduling.placement import Demand, Placement
from ..scheduling.prefill import prompt_store_incarnation
from ..scheduling.prompt import cache_salt
from ..wire.numeric_ids import part_number
from .fleet_state import FleetState

#: Time after the prefill until a prompt store holds the prompt's shared parts.
STORE_WRITE_MS = 300.0


def placement_salt(demand: Demand, placement: Placement) -> str:
    """Return the cache salt of a placed request, "" without a prompt."""
    if demand.prompt is None:
        return ""
    version = placement.weights_version
    return cache_salt(demand.cache_scope, demand.prompt.model, version)


def record_cached_parts(
    fleet_state: FleetState, demand: Demand, placement: Placement
) -> None:
    """Record which engine and prompt stores will hold the prompt's shared parts."""
    if demand.prompt is None:
        return
    salt = placement_salt(demand, placement)
    locations = [(placement.upstream.incarnation, placement.estimate_ms)]
    if placement.kv_target:
        ready_in_ms = placement.estimate_ms + STORE_WRITE_MS
        locations += [
            (prompt_store_incarnation(store), ready_in_ms)
            for store in fleet_state.configuration.prompt_stores
            if store.address == placement.kv_target
        ]
    for incarnation, ready_in_ms in locations:
        for part in demand.prompt.shared:
            key = part_number(salt, part.part_id)
            fleet_state.cached_parts.on_part_cached(
                incarnation, key, part.n_tokens, ready_in_ms
            )


def record_weights_version(
    fleet_state: FleetState, demand: Demand, placement: Placement, version: int | None
) -> None:
    """Record the weights version that an upstream states in its refusal, if any."""
    if demand.prompt is None or version is None:
        return
    fleet_state.weights_loads.on_loaded(
        placement.upstream, demand.prompt.model, version
    )
