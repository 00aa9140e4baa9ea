"""Keeps the store's record of isolated accounts complete."""

import random
import time
from collections.abc import Callable

import pykka

from ..catalog.isolation_record import (
    RECORD_KEY,
    decode_record,
    encode_record,
    merge_record,
)
from ..events import gateway as events
from ..events.lifecycle import STEP_FAILED
from ..runtime.decoding import MAX_REASON_CHARS
from ..store.kv_port import (
    CommitDone,
    Compare,
    Put,
    StorePort,
    Transaction,
    payload,
)
from ..telemetry import Telemetry

#: Bounds of the pause before another attempt. Instances that write at the same time
#: would conflict again without a random part.
MIN_RETRY_MS = 500.0
MAX_RETRY_MS = 1_500.0


class RecordedAccounts:
    """What the store's record holds, and what was requested to be added to it.

    Parameters
    ----------
    request : callable
        ``request(names)`` asks for accounts to be added to the record. It must not
        block.
    """

    def __init__(self, request: Callable[[frozenset[str]], None]) -> None:
        self._request = request
        self._recorded: frozenset[str] = frozenset()
        self._requested: frozenset[str] = frozenset()

    def on_recorded(self, names: frozenset[str]) -> None:
        """Replace what is known of the record; no names if it can't be used."""
        self._recorded = names
        self._requested = frozenset()

    def request_missing(self, accounts: frozenset[str]) -> None:
        """Request that accounts be recorded, unless they are or were requested."""
        if accounts <= self._requested:
            return
        if merge_record(self._recorded, accounts) == self._recorded:
            return
        self._requested = accounts
        self._request(accounts)


class IsolationRecorder(pykka.ThreadingActor):
    """Adds accounts to the store's record; its calls block only this actor's thread.

    A message is a set of names. Attempts are repeated until the record holds them, so
    that an outage of the store only delays it.

    Parameters
    ----------
    store : StorePort
        The store.
    telemetry : Telemetry
    pause : callable
        ``pause(duration_s)`` waits before another attempt.
    """

    use_daemon_thread = True

    def __init__(
        self,
        store: StorePort,
        telemetry: Telemetry,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        super().__init__()
        self._store = store
        self._telemetry = telemetry
        self._pause = pause

    def on_receive(self, message: frozenset[str]) -> None:
        """Add accounts to the record, retrying until it holds them."""
        while not self._try_record(message):
            self._pause(random.uniform(MIN_RETRY_MS, MAX_RETRY_MS) / 1000.0)

    def _try_record(self, names: frozenset[str]) -> bool:
        """Make one attempt; an exception that left it would end the actor."""
        try:
            return self._record(names)
        except Exception as error:  # noqa: BLE001 - tried again
            self._telemetry.log(
                STEP_FAILED,
                actor="IsolationRecorder",
                error_type=type(error).__name__,
                reason=str(error)[:MAX_REASON_CHARS],
            )
            return False

    def _record(self, names: frozenset[str]) -> bool:
        """Return whether the record certainly holds the accounts."""
        found = self._store.get(RECORD_KEY)
        if found.is_error():
            return False
        entry = found.ok
        recorded: frozenset[str] = frozenset()
        if entry is not None:
            # A record that can't be decoded is replaced: no instance can apply it.
            recorded = decode_record(payload(entry)).default_value(recorded)
        merged = merge_record(recorded, names)
        if merged == recorded:
            return True
        revision = entry.mod_revision if entry is not None else 0
        outcome = self._store.commit(
            Transaction(
                (Compare(RECORD_KEY, revision),),
                (Put(RECORD_KEY, encode_record(merged)),),
            )
        )
        if not isinstance(outcome, CommitDone):
            return False
        self._telemetry.log(
            events.ISOLATION_RECORDED,
            n_accounts=len(merged),
            n_added=len(merged - recorded),
        )
        return True
