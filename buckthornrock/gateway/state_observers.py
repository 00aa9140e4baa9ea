"""Callbacks by which the fleet state publishes an instance's findings to peers."""

from collections.abc import Callable

from ..catalog.upstreams import Incarnation
from ..scheduling.cached_parts import PartKey


class StateObservers:
    """The callbacks in use, which do nothing until the peer exchange sets them.

    Attributes
    ----------
    on_part_cached : callable
        ``on_part_cached(incarnation, key, n_tokens, ready_in_ms)`` is called when an
        own request puts a shared part into a cache.
    on_loaded : callable
        ``on_loaded(incarnation, model, version)`` is called when this instance
        observes weights at an engine.
    on_leaving : callable
        ``on_leaving(incarnation)`` is called when an upstream first says that it
        leaves.
    on_urgent : callable
        ``on_urgent()`` sends a digest at once.
    """

    def __init__(self) -> None:
        self.on_part_cached: Callable[[Incarnation, PartKey, int, float], None] = (
            lambda *_: None
        )
        self.on_loaded: Callable[[Incarnation, str, int], None] = lambda *_: None
        self.on_leaving: Callable[[Incarnation], None] = lambda _: None
        self.on_urgent: Callable[[], None] = lambda: None
