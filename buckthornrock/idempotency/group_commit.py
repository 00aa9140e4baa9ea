"""Commits several small transactions as one, to spare the key-value service."""

import threading
from collections.abc import Callable, Sequence

from ..store import (
    CommitConflict,
    CommitOutcome,
    CommitUnknown,
    Compare,
    KvEntry,
    Transaction,
)

MAX_BATCH = 48
MAX_BATCH_BYTES = 524_288

Commit = Callable[[Transaction], CommitOutcome]


def commit_together(
    commit: Commit, transactions: Sequence[Transaction]
) -> list[CommitOutcome]:
    """Commit transactions over distinct keys; return the outcome of each.

    Those whose comparison fails are sorted out, and the others are committed again
    without them. An outcome that is unknown is unknown for all that were together.
    """
    outcomes: dict[int, CommitOutcome] = {}
    pending = list(range(len(transactions)))
    while pending:
        outcome = commit(_join([transactions[i] for i in pending]))
        if not isinstance(outcome, CommitConflict):
            outcomes.update(dict.fromkeys(pending, outcome))
            break
        found = {entry.key: entry for entry in outcome.entries}
        failed = [i for i in pending if _conflicts(transactions[i], found)]
        # Without a conflict to see, the keys have changed again in between.
        for i in failed or pending:
            outcomes[i] = CommitConflict(_entries_of(transactions[i], found))
        pending = [i for i in pending if i not in outcomes]
    return [outcomes[i] for i in range(len(transactions))]


def _join(transactions: Sequence[Transaction]) -> Transaction:
    return Transaction(
        tuple(c for transaction in transactions for c in transaction.compares),
        tuple(w for transaction in transactions for w in transaction.writes),
    )


def _conflicts(transaction: Transaction, found: dict[str, KvEntry]) -> bool:
    return any(_fails(compare, found) for compare in transaction.compares)


def _fails(compare: Compare, found: dict[str, KvEntry]) -> bool:
    entry = found.get(compare.key)
    return (entry.mod_revision if entry else 0) != compare.mod_revision


def _entries_of(
    transaction: Transaction, found: dict[str, KvEntry]
) -> tuple[KvEntry, ...]:
    keys = [compare.key for compare in transaction.compares]
    return tuple(found[key] for key in keys if key in found)


class _Slot:
    """A transaction that waits for its outcome."""

    def __init__(self, transaction: Transaction) -> None:
        self.transaction = transaction
        self.outcome: CommitOutcome | None = None


class GroupCommitter:
    """Commits together what arrives while a commit is on its way.

    Parameters
    ----------
    commit : callable
        Commits one transaction.
    """

    def __init__(self, commit: Commit) -> None:
        self._commit = commit
        self._lock = threading.Lock()
        self._turn = threading.Lock()
        self._waiting: list[_Slot] = []

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit ``transaction``; keys of concurrent ones must differ."""
        slot = _Slot(transaction)
        with self._lock:
            self._waiting.append(slot)
        while slot.outcome is None:
            with self._turn:
                if slot.outcome is None:
                    self._commit_waiting()
        return slot.outcome

    def _commit_waiting(self) -> None:
        with self._lock:
            batch, self._waiting = _split(self._waiting)
        transactions = [slot.transaction for slot in batch]
        try:
            outcomes = commit_together(self._commit, transactions)
        except Exception as error:  # noqa: BLE001 - the others would wait for ever
            outcomes = [CommitUnknown(type(error).__name__)] * len(batch)
        for slot, outcome in zip(batch, outcomes, strict=True):
            slot.outcome = outcome


def _split(slots: list[_Slot]) -> tuple[list[_Slot], list[_Slot]]:
    n_bytes = 0
    for index, slot in enumerate(slots):
        n_bytes += _size(slot.transaction)
        if index and (index >= MAX_BATCH or n_bytes > MAX_BATCH_BYTES):
            return slots[:index], slots[index:]
    return slots, []


def _size(transaction: Transaction) -> int:
    return sum(len(getattr(write, "value", b"")) for write in transaction.writes)
