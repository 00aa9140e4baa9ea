"""Commits several small transactions as one, to reduce key-value service load."""

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

    Transactions whose comparison fails are taken out with a conflict, and the others
    are committed again without them. If the outcome of a joint commit is unknown, it
    is unknown for each transaction in it.
    """
    outcomes: dict[int, CommitOutcome] = {}
    pending = list(range(len(transactions)))
    while pending:
        outcome = commit(_join([transactions[i] for i in pending]))
        if not isinstance(outcome, CommitConflict):
            outcomes.update(dict.fromkeys(pending, outcome))
            break
        found = {entry.key: entry for entry in outcome.entries}
        conflicting = [i for i in pending if _conflicts(transactions[i], found)]
        # If no comparison fails against the entries returned, the keys have changed
        # again since the commit: all pending transactions then count as conflicts.
        for i in conflicting or pending:
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


class _QueuedCommit:
    """A queued transaction and its outcome, once it has one."""

    def __init__(self, transaction: Transaction) -> None:
        self.transaction = transaction
        self.outcome: CommitOutcome | None = None


class GroupCommitter:
    """Commits in one batch the transactions that arrive while a commit is in progress.

    Parameters
    ----------
    commit : callable
        Commits one transaction.
    """

    def __init__(self, commit: Commit) -> None:
        self._commit = commit
        self._lock = threading.Lock()
        self._commit_lock = threading.Lock()
        self._queue: list[_QueuedCommit] = []

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit ``transaction``; concurrent transactions must have distinct keys."""
        queued = _QueuedCommit(transaction)
        with self._lock:
            self._queue.append(queued)
        while queued.outcome is None:
            with self._commit_lock:
                if queued.outcome is None:
                    self._commit_batch()
        return queued.outcome

    def _commit_batch(self) -> None:
        with self._lock:
            batch, self._queue = _split_batch(self._queue)
        transactions = [queued.transaction for queued in batch]
        try:
            outcomes = commit_together(self._commit, transactions)
        except Exception as error:  # noqa: BLE001 - or the rest of the batch waits forever
            outcomes = [CommitUnknown(type(error).__name__)] * len(batch)
        for queued, outcome in zip(batch, outcomes, strict=True):
            queued.outcome = outcome


def _split_batch(
    queue: list[_QueuedCommit],
) -> tuple[list[_QueuedCommit], list[_QueuedCommit]]:
    n_bytes = 0
    for index, queued in enumerate(queue):
        n_bytes += _n_value_bytes(queued.transaction)
        if index and (index >= MAX_BATCH or n_bytes > MAX_BATCH_BYTES):
            return queue[:index], queue[index:]
    return queue, []


def _n_value_bytes(transaction: Transaction) -> int:
    return sum(len(getattr(write, "value", b"")) for write in transaction.writes)
