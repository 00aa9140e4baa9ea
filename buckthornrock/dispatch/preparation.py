"""Prepares an engine's prefix cache before a request is sent to the engine."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..routing import RouteChoice, RouteQuery, RoutingPort
from ..runtime import Clock
from ..upstreams.engine_messages import CacheTransferred
from ..upstreams.errors import AttemptFailed

#: Poll period while another request computes the shared prefix.
WAIT_STEP_MS = 5.0

_Import = Callable[
    [str, str, tuple[str, ...], str], Result[CacheTransferred, AttemptFailed]
]


class CachePreparation(NamedTuple):
    """Functions that prepare the cache before a request is sent.

    Parameters
    ----------
    wait_for_prefix : callable
        ``wait_for_prefix(query, choice, is_gone)`` waits while another request
        computes the shared prefix at the chosen engine; the routing policy limits the
        wait.
    import_prefix : callable
        ``import_prefix(query, choice)`` makes the engine import the blocks that the
        choice names from the cache store.
    """

    wait_for_prefix: Callable[[RouteQuery, RouteChoice, Callable[[], bool]], None]
    import_prefix: Callable[[RouteQuery, RouteChoice], None]


def open_cache_preparation(
    routing: RoutingPort, import_cache: _Import, store: str, clock: Clock
) -> CachePreparation:
    """Return the functions that wait for, or import, the shared prefix of a request.

    Parameters
    ----------
    import_cache : callable
        ``import_cache(address, cache_salt, hashes, store)``.
    store : str
        ``IP:PORT`` of the cache store; "" if there is none.
    """

    def wait_for_prefix(
        query: RouteQuery, choice: RouteChoice, is_gone: Callable[[], bool]
    ) -> None:
        while routing.must_wait(query, choice, clock.now_ms()) and not is_gone():
            clock.sleep_ms(WAIT_STEP_MS)

    def import_prefix(query: RouteQuery, choice: RouteChoice) -> None:
        if not store or not choice.import_hashes:
            return
        started_at_ms = clock.now_ms()
        transferred = import_cache(
            choice.address, choice.cache_salt, choice.import_hashes, store
        )
        # If the import fails, the engine computes the prefix itself.
        n_blocks = transferred.map(lambda m: m.n_blocks).default_value(0)
        now_ms = clock.now_ms()
        routing.on_imported(query, choice, n_blocks, now_ms - started_at_ms, now_ms)

    return CachePreparation(wait_for_prefix, import_prefix)
