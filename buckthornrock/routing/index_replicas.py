"""Chooses the instances that hold a replica of an engine's full cache index."""

from typing import NamedTuple, Protocol

from ..runtime.rendezvous import rank

#: Up to this many instances, every instance holds the index of every engine.
SMALL_FLEET_N_INSTANCES = 8
N_INDEX_REPLICAS = 2


class LiveInstance(Protocol):
    """What is read of a live instance; ``membership.InstanceView`` satisfies it."""

    instance_id: str


class _View(NamedTuple):
    """One view of the live instances, and the results computed for it."""

    instances: tuple[LiveInstance, ...]
    ids: tuple[str, ...]
    has_replica: dict[str, bool]


class IndexReplicas:
    """Decides whether this instance holds a replica of an engine's index.

    The replicas of an engine's index change only with the live instances. They are
    therefore computed once per view of these and not at every poll. One object serves
    all engines and may be used from any thread.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    """

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._view = _View((), (), {})

    def has_replica(
        self, instances: tuple[LiveInstance, ...], upstream_id: str
    ) -> bool:
        """Return whether this instance holds the index of ``upstream_id``.

        ``instances`` are the live ones, the same tuple object as long as they don't
        change.
        """
        # The view is replaced as a whole, so that a result which another thread
        # computes for an older view is never used for this one.
        view = self._view
        if instances is not view.instances:
            view = self._view = _next_view(view, instances)
        if len(view.ids) <= SMALL_FLEET_N_INSTANCES:
            return True
        found = view.has_replica.get(upstream_id)
        if found is None:
            replica_ids = rank(upstream_id.encode(), view.ids)[:N_INDEX_REPLICAS]
            found = view.has_replica[upstream_id] = self._instance_id in replica_ids
        return found


def _next_view(view: _View, instances: tuple[LiveInstance, ...]) -> _View:
    ids = tuple(instance.instance_id for instance in instances)
    return _View(instances, ids, view.has_replica if ids == view.ids else {})
