"""Queue of outcomes that have yet to be recorded in the key-value service.

The caller has its response already; the record is for later requests with the same key.
Nothing in this module causes a request to an upstream.
"""

import itertools
import random
from collections.abc import Iterable

from ..store import (
    CommitConflict,
    CommitDone,
    CommitOutcome,
    Compare,
    KvEntry,
    Put,
    Transaction,
)
from .keyed_call import Settlement
from .records import decode

FIRST_RETRY_MS = 100.0
MAX_RETRY_MS = 5_000.0


class _Pending:
    """A settlement with the time and backoff of its next commit."""

    def __init__(self, settlement: Settlement, now_ms: float) -> None:
        self.settlement = settlement
        self.due_at_ms = now_ms
        self.retry_ms = FIRST_RETRY_MS


class OutcomeQueue:
    """Pending settlements by claim; the caller must hold a lock around each method.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of retries.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, settlement: Settlement, now_ms: float) -> None:
        """Queue a settlement until it is recorded."""
        self._pending[settlement.claim_id] = _Pending(settlement, now_ms)

    def due_settlements(self, now_ms: float, limit: int) -> list[Settlement]:
        """Return up to ``limit`` settlements that are due to be committed."""
        return list(itertools.islice(self._due(now_ms), limit))

    def on_commit(
        self, settlement: Settlement, outcome: CommitOutcome, now_ms: float
    ) -> bool:
        """Handle the outcome of a commit; return whether the settlement is done."""
        if isinstance(outcome, CommitDone):
            return self._drop(settlement)
        if not isinstance(outcome, CommitConflict):
            return self._retry(settlement, now_ms)
        entry = next(iter(outcome.entries), None)
        if not _is_open_claim(entry, settlement.claim_id):
            return self._drop(settlement)
        return self._retry_with_revision(settlement, entry.mod_revision, now_ms)

    def _due(self, now_ms: float) -> Iterable[Settlement]:
        return (
            pending.settlement
            for pending in self._pending.values()
            if pending.due_at_ms <= now_ms
        )

    def _drop(self, settlement: Settlement) -> bool:
        del self._pending[settlement.claim_id]
        return True

    def _retry(self, settlement: Settlement, now_ms: float) -> bool:
        pending = self._pending[settlement.claim_id]
        pending.due_at_ms = now_ms + pending.retry_ms * self._rng.uniform(0.5, 1.5)
        pending.retry_ms = min(MAX_RETRY_MS, 2.0 * pending.retry_ms)
        return False

    def _retry_with_revision(
        self, settlement: Settlement, mod_revision: int, now_ms: float
    ) -> bool:
        pending = self._pending[settlement.claim_id]
        pending.settlement = settlement._replace(mod_revision=mod_revision)
        pending.due_at_ms = now_ms
        return False


def transaction_of(settlement: Settlement) -> Transaction:
    """Return the transaction that writes ``settlement``."""
    compare = Compare(settlement.storage_key, settlement.mod_revision)
    put = Put(settlement.storage_key, settlement.value, settlement.lease_id)
    return Transaction((compare,), (put,))


def _is_open_claim(entry: KvEntry | None, claim_id: str) -> bool:
    if entry is None:
        return False
    record = decode(entry.value)
    return record.claim_id == claim_id and record.state == "claimed"
