"""Which instances keep the full cache index of an engine."""

from typing import Protocol

from ..runtime.rendezvous import rank

#: Up to this size of the fleet every instance keeps every index.
SMALL_FLEET_N_INSTANCES = 8
N_INDEX_REPLICAS = 2


class LiveInstance(Protocol):
    """What is read of a live instance; ``membership.InstanceView`` has this shape."""

    instance_id: str


class IndexKeepers:
    """Tells whether this instance keeps an engine's index.

    The keepers of an engine are the same until the live instances change, so they are
    ranked once for each view of these, not at every poll.

    Parameters
    ----------
    instance_id : str
        This instance.
    """

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._views: tuple[LiveInstance, ...] = ()
        self._ids: tuple[str, ...] = ()
        self._is_keeper: dict[str, bool] = {}

    def is_keeper(self, views: tuple[LiveInstance, ...], upstream_id: str) -> bool:
        """Return whether this instance keeps the index of ``upstream_id``.

        ``views`` are the live instances; the same object while nothing changed.
        """
        if views is not self._views:
            self._note_views(views)
        if len(self._ids) <= SMALL_FLEET_N_INSTANCES:
            return True
        found = self._is_keeper.get(upstream_id)
        if found is None:
            keepers = rank(upstream_id.encode(), self._ids)[:N_INDEX_REPLICAS]
            found = self._is_keeper[upstream_id] = self._instance_id in keepers
        return found

    def _note_views(self, views: tuple[LiveInstance, ...]) -> None:
        ids = tuple(view.instance_id for view in views)
        if ids != self._ids:
            self._is_keeper = {}
        self._ids = ids
        self._views = views
