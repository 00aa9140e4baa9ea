"""Prepares an engine's cache for a request before it is sent there."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..routing import RouteChoice, RouteQuery, RoutingPort
from ..runtime import Clock
from ..upstreams.engine_messages import CacheTransferred
from ..upstreams.errors import AttemptFailed

#: Time between two looks at a prefix that another request computes.
WAIT_STEP_MS = 5.0

_Import = Callable[
    [str, str, tuple[str, ...], str], Result[CacheTransferred, AttemptFailed]
]


class Preparation(NamedTuple):
    """Functions that run before a request is sent.

    Parameters
    ----------
    hold : callable
        ``hold(query, choice, is_gone)`` waits while another request computes the
        shared prefix there; the routing policy bounds the wait.
    fetch : callable
        ``fetch(query, choice)`` has the engine import what the choice names.
    """

    hold: Callable[[RouteQuery, RouteChoice, Callable[[], bool]], None]
    fetch: Callable[[RouteQuery, RouteChoice], None]


def open_preparation(
    routing: RoutingPort, import_cache: _Import, store: str, clock: Clock
) -> Preparation:
    """Return the functions that wait for, or import, a request's shared prefix.

    Parameters
    ----------
    import_cache : callable
        ``import_cache(address, cache_salt, hashes, store)``.
    store : str
        ``IP:PORT`` of the kept-cache store; "" uses none.
    """

    def hold(
        query: RouteQuery, choice: RouteChoice, is_gone: Callable[[], bool]
    ) -> None:
        while routing.must_wait(query, choice, clock.now_ms()) and not is_gone():
            clock.sleep_ms(WAIT_STEP_MS)

    def fetch(query: RouteQuery, choice: RouteChoice) -> None:
        if not store or not choice.import_hashes:
            return
        started_at_ms = clock.now_ms()
        moved = import_cache(
            choice.address, choice.cache_salt, choice.import_hashes, store
        )
        # Without the import the engine computes the prefix; nothing else changes.
        n_blocks = moved.map(lambda m: m.n_blocks).default_value(0)
        now_ms = clock.now_ms()
        routing.on_imported(query, choice, n_blocks, now_ms - started_at_ms, now_ms)

    return Preparation(hold, fetch)
