"""Compares the actual state of an engine with the desired one; plans the next order.

An order states the desired end state and is therefore idempotent: it may be repeated,
and a late copy does no harm as long as the same state is still desired.
"""

import math
from collections.abc import Sequence
from typing import Literal, NamedTuple

from ..upstreams.order_messages import EngineOrderState
from .placement_document import WantedEngine

OrderKind = Literal["load", "adapter", "role"]


class WantedOrder(NamedTuple):
    """The next order for one engine; ``reason`` tells operators why."""

    kind: OrderKind
    model: str
    weights_version: str
    adapter: str
    role: str
    reason: str


class NoOrder(NamedTuple):
    """No order is to be sent now; ``reason`` tells operators why."""

    reason: str


class EngineSummary(NamedTuple):
    """State of one engine of the fleet according to its load report.

    Parameters
    ----------
    wanted : WantedEngine or None
        Its desired state.
    is_serving : bool
        Whether it is live and has loaded the desired model.
    weights_version : str
        The version that it serves, "" if unknown.
    """

    upstream_id: str
    failure_domain: str
    wanted: WantedEngine | None
    is_serving: bool
    weights_version: str


class LoadInProgress(NamedTuple):
    """A held load slot; ``is_roll`` is True if the engine served before."""

    upstream_id: str
    failure_domain: str
    is_roll: bool


def next_order(
    wanted: WantedEngine | None, state: EngineOrderState
) -> WantedOrder | NoOrder:
    """Return the next order towards the desired state; weights come before adapters."""
    if wanted is None:
        return NoOrder("the placement does not name it")
    if state.loading:
        return NoOrder("it is loading")
    if not has_weights(wanted, state):
        reason = "cold" if not state.models else "other weights"
        return _order("load", wanted, reason=reason)
    missing = sorted(set(wanted["adapters"]) - set(state.adapters))
    if missing:
        return _order("adapter", wanted, adapter=missing[0], reason="adapter missing")
    if wanted["role"] and wanted["role"] != state.role:
        return _order("role", wanted, reason="other role")
    return NoOrder("it is in the desired state")


def has_weights(wanted: WantedEngine, state: EngineOrderState) -> bool:
    """Return whether the engine has the desired model and weights version."""
    is_version = state.weights_version == wanted["weights_version"]
    return wanted["model"] in state.models and is_version


def may_load(
    upstream_id: str,
    state: EngineOrderState,
    engines: Sequence[EngineSummary],
    in_progress: Sequence[LoadInProgress],
    min_serving_share: float,
) -> NoOrder | None:
    """Return why the engine must wait to load, or None if it may.

    Loading a cold engine takes no capacity away, so it needs only a slot. A serving
    engine may load only when enough others serve its model, no other failure domain is
    being rolled out, and the failure domains that come before its own by name are
    updated.
    """
    if not state.models:
        return None
    own = next(e for e in engines if e.upstream_id == upstream_id)
    rolling = {load.failure_domain for load in in_progress if load.is_roll}
    if rolling - {own.failure_domain}:
        return NoOrder("another failure domain is being rolled out")
    if _is_earlier_domain_unfinished(own, engines):
        return NoOrder("an earlier failure domain is not yet updated")
    peers = [e for e in engines if _is_same_model(e, own)]
    loading = {load.upstream_id for load in in_progress}
    n_left = sum(
        e.is_serving and e.upstream_id not in loading | {upstream_id} for e in peers
    )
    if n_left < math.ceil(min_serving_share * len(peers)):
        return NoOrder("too few other engines serve the model")
    return None


def _is_earlier_domain_unfinished(
    own: EngineSummary, engines: Sequence[EngineSummary]
) -> bool:
    return any(
        e.failure_domain < own.failure_domain
        and _is_same_model(e, own)
        and e.is_serving
        and e.weights_version != e.wanted["weights_version"]
        for e in engines
    )


def _is_same_model(engine: EngineSummary, own: EngineSummary) -> bool:
    if engine.wanted is None or own.wanted is None:
        return False
    return engine.wanted["model"] == own.wanted["model"]


def _order(
    kind: OrderKind, wanted: WantedEngine, reason: str, adapter: str = ""
) -> WantedOrder:
    return WantedOrder(
        kind,
        wanted["model"],
        wanted["weights_version"],
        adapter,
        wanted["role"],
        reason,
    )
