"""Follows the key-value service: few instances watch, all read it rarely."""

import random
import threading
from collections.abc import Callable

from ..events import profiles as events
from ..membership import MembershipPort
from ..runtime.rendezvous import rank
from ..runtime.start_jitter import make_start_check
from ..store import KvPort, WatchBatch
from ..telemetry import Telemetry
from .acceptance import Acceptance
from .stored import KEY_PREFIX

#: Instances that hold a watch, chosen by rendezvous over the live ones.
N_WATCHERS = 3
WATCH_KEY = b"profiles-watch"
RETRY_PERIOD_MS = 500.0
#: A watch is opened again after this time, behind a full read that closes any gap.
MAX_WATCH_MS = 60_000.0
#: Spread of the full read after a watch ended.
WATCH_GAP_MS = 200.0
#: Period of full reads by instances that do not watch.
RARE_READ_PERIOD_MS = 30_000.0


class ProfileWatch:
    """Reads profiles and watches them when it is this instance's turn.

    Parameters
    ----------
    kv : KvPort
        The key-value service.
    acceptance : Acceptance
        Takes in what is read, and gives back what the service forgot.
    names : callable
        Names of the profiles that are known here.
    membership : MembershipPort
        The live instances.
    now_ms : callable
        Monotonic milliseconds.
    telemetry : Telemetry
        Receives the end of a watch.
    rng : random.Random
        Source of the jitter.
    n_instances : callable
        How many instances may be starting together.
    """

    def __init__(
        self,
        kv: KvPort,
        acceptance: Acceptance,
        names: Callable[[], tuple[str, ...]],
        membership: MembershipPort,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
        rng: random.Random,
        n_instances: Callable[[], int],
    ) -> None:
        self._kv = kv
        self._acceptance = acceptance
        self._names = names
        self._membership = membership
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._may_start = make_start_check(now_ms, rng, n_instances)
        self._next_read_at_ms = 0.0
        self._rng = rng
        self._closed = threading.Event()

    def step(self) -> None:
        """Read or watch, if it is time to; blocks as long as the watch lasts."""
        if self._now_ms() < self._next_read_at_ms or not self._may_start():
            return
        if not self.read_all():
            self._next_read_at_ms = self._now_ms() + RETRY_PERIOD_MS
            return
        if self._is_watcher():
            self._watch()
            self._next_read_at_ms = self._now_ms() + self._rng.random() * WATCH_GAP_MS
            return
        jitter = 0.5 + self._rng.random()
        self._next_read_at_ms = self._now_ms() + RARE_READ_PERIOD_MS * jitter

    def read_all(self) -> bool:
        """Read all profiles; return whether the service answered."""
        entries = self._kv.get_prefix(KEY_PREFIX)
        if entries.is_error():
            return False
        by_name = {e.key.removeprefix(KEY_PREFIX): e for e in entries.ok}
        for name in by_name.keys() | set(self._names()):
            self._acceptance.reconcile(name, by_name.get(name))
        return True

    def close(self) -> None:
        """Let a watch in progress end at its next sign of life."""
        self._closed.set()

    def _watch(self) -> None:
        give_up_at_ms = self._now_ms() + MAX_WATCH_MS
        reason = "the service ended it"
        # From now on, not from the newest known change: the service may have dropped
        # what came after that one, and would end the watch at once.
        watch = self._kv.watch(KEY_PREFIX, 0)
        for index, batch in enumerate(watch):
            if index == 0:
                # What changed between the first read and the watch.
                self.read_all()
            self._take(batch)
            if self._closed.is_set() or not self._is_watcher():
                reason = "no longer this instance's turn"
                break
            if self._now_ms() >= give_up_at_ms:
                reason = "time for a full read"
                break
        watch.close()
        self._telemetry.log(events.WATCH_ENDED, reason=reason)

    def _take(self, batch: WatchBatch) -> None:
        for entry in batch.entries:
            self._acceptance.reconcile(entry.key.removeprefix(KEY_PREFIX), entry)

    def _is_watcher(self) -> bool:
        ids = [view.instance_id for view in self._membership.live()]
        own_id = self._membership.self_view().instance_id
        return own_id in rank(WATCH_KEY, ids)[:N_WATCHERS]
