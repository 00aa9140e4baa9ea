"""Watches all keys of the store, through outages and lost change history.

One watch covers every prefix, which halves the calls of one watch a prefix.
"""

import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import pykka

from ..events.lifecycle import STEP_FAILED
from ..runtime.decoding import MAX_REASON_CHARS
from ..telemetry import Telemetry
from .breaker import backoff_ms
from .errors import HistoryGone
from .kv_port import Snapshot, StorePort, WatchBatch

ALL_KEYS = ""
#: Waiting time of one long poll. It bounds how late a dead connection is noticed.
POLL_WAIT_MS = 1_000.0
#: Longest backoff between two attempts. It bounds how late the store's return is
#: noticed.
MAX_BACKOFF_MS = 500.0
#: Calls per second that all watchers make while changes keep coming.
FLEET_CALLS_PER_S = 40.0
#: Longest time by which batching delays a change.
MAX_BATCHING_DELAY_MS = 500.0


def batching_delay_ms(n_watchers: int) -> float:
    """Return how long an instance waits for further changes before its next poll.

    The delay grows with the number of watchers, so that the call rate of all of them
    is bounded.
    """
    return min(MAX_BATCHING_DELAY_MS, n_watchers * 1000.0 / FLEET_CALLS_PER_S)


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


class WatchControl(NamedTuple):
    """When and from where a watcher polls.

    Parameters
    ----------
    is_wanted : threading.Event
        Set while the watcher polls; it pauses while the event is clear.
    known_revision : callable
        Returns the revision up to which the changes are known from elsewhere.
    n_watchers : callable
        Returns the number of instances that watch the store.
    """

    is_wanted: threading.Event
    known_revision: Callable[[], int]
    n_watchers: Callable[[], int]


class StoreWatcher(pykka.ThreadingActor):
    """Actor that reads all keys once and long-polls for changes while that is wanted.

    Parameters
    ----------
    store : StorePort
        The store.
    listener : Listener
        Receives the snapshots and changes.
    control : WatchControl
        When and from where to poll.
    telemetry : Telemetry
        Logs steps that raise.
    """

    use_daemon_thread = True

    def __init__(
        self,
        store: StorePort,
        listener: Listener,
        control: WatchControl,
        telemetry: Telemetry,
    ) -> None:
        super().__init__()
        self._store = store
        self._listener = listener
        self._control = control
        self._telemetry = telemetry
        self._rng = random.Random()
        self._revision = 0
        self._is_first_step = True
        self._n_failures = 0

    def on_start(self) -> None:
        """Schedule the first step."""
        self.actor_ref.tell(None)

    def on_receive(self, message: None) -> None:
        """Run one step and schedule the next."""
        if not self._is_first_step:
            self._control.is_wanted.wait()
        is_answered = self._try_step()
        self._is_first_step = False
        self.actor_ref.tell(message)
        if is_answered:
            self._n_failures = 0
            return
        pause_ms = min(MAX_BACKOFF_MS, backoff_ms(self._n_failures, self._rng))
        time.sleep(pause_ms / 1000.0)
        self._n_failures += 1

    def _try_step(self) -> bool:
        """Make one call; one that raises counts as not answered.

        An exception that left ``on_receive`` would end the actor.
        """
        try:
            return self._step()
        except Exception as error:
            self._telemetry.log(
                STEP_FAILED,
                actor="StoreWatcher",
                error_type=type(error).__name__,
                reason=str(error)[:MAX_REASON_CHARS],
            )
            self._listener.on_lost(type(error).__name__)
            return False

    def _step(self) -> bool:
        """Make one call; return whether the store answered."""
        if self._is_first_step:
            # What this read lacks follows with the first poll or from peers.
            return self._read(may_be_stale=True)
        self._revision = max(self._revision, self._control.known_revision())
        return self._poll() if self._revision else self._read(may_be_stale=False)

    def _read(self, may_be_stale: bool) -> bool:
        found = self._store.snapshot(ALL_KEYS, may_be_stale)
        if found.is_error():
            self._listener.on_lost(found.error.reason)
            return False
        self._revision = found.ok.revision
        self._listener.on_snapshot(found.ok)
        return True

    def _poll(self) -> bool:
        found = self._store.poll(ALL_KEYS, self._revision, POLL_WAIT_MS)
        if found.is_ok():
            self._revision = max(self._revision, found.ok.revision)
            self._listener.on_change(found.ok)
            if found.ok.entries or found.ok.deleted:
                delay_ms = batching_delay_ms(self._control.n_watchers())
                time.sleep(delay_ms / 1000.0)
            return True
        if isinstance(found.error, HistoryGone):
            return self._read(may_be_stale=False)
        self._listener.on_lost(found.error.reason)
        return False
