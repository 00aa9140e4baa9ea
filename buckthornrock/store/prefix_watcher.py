"""Watches a key prefix of the store through outages and lost change history."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

import pykka

from .breaker import backoff_ms
from .errors import HistoryGone
from .kv_port import Snapshot, StorePort, WatchBatch

#: Waiting time of one long poll. It bounds how late a dead connection is noticed.
POLL_WAIT_MS = 2_000.0
#: Longest backoff between two attempts. It bounds how late the store's return is
#: noticed.
MAX_BACKOFF_MS = 500.0
#: Calls per second that the whole fleet makes while changes keep coming.
FLEET_CALLS_PER_S = 200.0
#: Longest time by which batching delays a change.
MAX_BATCHING_DELAY_MS = 500.0


def batching_delay_ms(n_instances: int) -> float:
    """Return how long an instance waits for further changes before its next poll.

    The delay grows with the fleet, so that the call rate of all instances is bounded.
    """
    return min(MAX_BATCHING_DELAY_MS, n_instances * 1000.0 / FLEET_CALLS_PER_S)


class Listener(NamedTuple):
    """Callbacks of a watcher; they are called on the watcher's thread.

    Parameters
    ----------
    on_snapshot : callable
        ``on_snapshot(Snapshot)``: all keys, at the start and after history was lost.
    on_change : callable
        ``on_change(WatchBatch)``: changes; without entries, it confirms the revision.
    on_lost : callable
        ``on_lost(reason)``: the store does not answer.
    """

    on_snapshot: Callable[[Snapshot], None]
    on_change: Callable[[WatchBatch], None]
    on_lost: Callable[[str], None]


class PrefixWatcher(pykka.ThreadingActor):
    """Actor that reads a key prefix once and then long-polls for its changes.

    Parameters
    ----------
    store : StorePort
        The store.
    prefix : str
        Prefix of the keys to watch.
    listener : Listener
        Receives the snapshots and changes.
    batching_delay_ms : callable
        How long to wait after a change, so that further changes share one call.
    """

    use_daemon_thread = True

    def __init__(
        self,
        store: StorePort,
        prefix: str,
        listener: Listener,
        batching_delay_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        super().__init__()
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._batching_delay_ms = batching_delay_ms
        self._rng = random.Random()
        self._revision = 0
        self._n_failures = 0

    def on_start(self) -> None:
        """Schedule the first step."""
        self.actor_ref.tell(None)

    def on_receive(self, message: None) -> None:
        """Run one step and schedule the next."""
        is_answered = self._poll() if self._revision else self._read()
        self.actor_ref.tell(message)
        if is_answered:
            self._n_failures = 0
            return
        pause_ms = min(MAX_BACKOFF_MS, backoff_ms(self._n_failures, self._rng))
        time.sleep(pause_ms / 1000.0)
        self._n_failures += 1

    def _read(self) -> bool:
        found = self._store.snapshot(self._prefix)
        if found.is_error():
            self._listener.on_lost(found.error.reason)
            return False
        self._revision = found.ok.revision
        self._listener.on_snapshot(found.ok)
        return True

    def _poll(self) -> bool:
        found = self._store.poll(self._prefix, self._revision, POLL_WAIT_MS)
        if found.is_ok():
            self._revision = max(self._revision, found.ok.revision)
            self._listener.on_change(found.ok)
            if found.ok.entries or found.ok.deleted:
                time.sleep(self._batching_delay_ms() / 1000.0)
            return True
        if isinstance(found.error, HistoryGone):
            self._revision = 0
            return True
        self._listener.on_lost(found.error.reason)
        return False
