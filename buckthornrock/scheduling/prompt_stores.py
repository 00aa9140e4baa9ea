"""Chooses the prompt store that stores the shared parts of a prompt."""

from ..catalog.configuration import PromptStore
from ..catalog.upstreams import Upstream
from ..runtime import rendezvous
from .placement import Demand, SchedulingView
from .prefill import (
    CacheSource,
    SharedPrompt,
    has_fast_link,
    prompt_store_incarnation,
)


def kv_target(
    demand: Demand,
    shared_prompt: SharedPrompt,
    cache_sources: tuple[CacheSource, ...],
    upstream: Upstream,
    view: SchedulingView,
) -> str:
    """Return the address of the store that should store the shared parts, or "".

    ``upstream`` is the engine that computes the parts, ``cache_sources`` are the
    addresses that have them already.
    """
    if not shared_prompt.is_worth_fetching:
        return ""
    store = _prompt_store(demand, upstream, view.prompt_stores)
    if store is None:
        return ""
    if view.weights.lag_ms(upstream, demand.prompt.model, view.now_ms):
        # The weights may be replaced during prefill, and the store could not
        # distinguish the new parts from those of the previous weights.
        return ""
    # One copy is enough: fetching from another failure domain takes far less time than
    # prefill, and the capacities of the stores add up.
    holding = {source.address for source in cache_sources}
    is_stored = any(other.address in holding for other in view.prompt_stores)
    is_blocked = (
        view.now_ms < view.loads.of(prompt_store_incarnation(store)).blocked_until_ms
    )
    return "" if is_stored or is_blocked else store.address


def _prompt_store(
    demand: Demand, upstream: Upstream, stores: tuple[PromptStore, ...]
) -> PromptStore | None:
    """Return the store for the shared parts of a prompt that an engine computes.

    It is one in the engine's failure domain, or any one if there is none. Among
    several, rendezvous hashing of the leading part chooses, so that all instances agree
    and the parts that continue it are found beside it. Stores with slow links are not
    worth more transfers, and the first one alone is used.
    """
    fast = [s for s in stores if has_fast_link(s, demand.service.engine)]
    if len(fast) < 2:
        return stores[0] if stores else None
    near = [s for s in fast if s.failure_domain == upstream.failure_domain]
    by_address = {store.address: store for store in near or fast}
    prompt = demand.prompt
    key = f"{demand.cache_scope}/{prompt.model}/{prompt.shared[0].part_id}"
    return by_address[rendezvous.owner(key.encode(), list(by_address))]
