"""Which instances keep the full cache index of an engine."""

from typing import NamedTuple, Protocol

from ..runtime.rendezvous import rank

#: Up to this size of the fleet every instance keeps every index.
SMALL_FLEET_N_INSTANCES = 8
N_INDEX_REPLICAS = 2


class LiveInstance(Protocol):
    """What is read of a live instance; ``membership.InstanceView`` has this shape."""

    instance_id: str


class _View(NamedTuple):
    """One view of the live instances, and what was found for it."""

    instances: tuple[LiveInstance, ...]
    ids: tuple[str, ...]
    has_replica: dict[str, bool]


class IndexReplicas:
    """Tells whether this instance keeps an engine's index.

    The keepers of an engine are the same until the live instances change, so they are
    ranked once for each view of these, not at every poll. One object serves all
    engines, from any thread.

    Parameters
    ----------
    instance_id : str
        This instance.
    """

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._view = _View((), (), {})

    def has_replica(
        self, instances: tuple[LiveInstance, ...], upstream_id: str
    ) -> bool:
        """Return whether this instance keeps the index of ``upstream_id``.

        ``instances`` are the live ones; the same object while nothing changed.
        """
        # The view is replaced as a whole, so that what another thread finds for an
        # older one can't be taken for an answer to this one.
        view = self._view
        if instances is not view.instances:
            view = self._view = _next_view(view, instances)
        if len(view.ids) <= SMALL_FLEET_N_INSTANCES:
            return True
        found = view.has_replica.get(upstream_id)
        if found is None:
            index_replicas = rank(upstream_id.encode(), view.ids)[:N_INDEX_REPLICAS]
            found = view.has_replica[upstream_id] = self._instance_id in index_replicas
        return found


def _next_view(view: _View, instances: tuple[LiveInstance, ...]) -> _View:
    ids = tuple(instance.instance_id for instance in instances)
    return _View(instances, ids, view.has_replica if ids == view.ids else {})
