"""Whose waiting request makes room when callers' threads run out.

Waiting requests hold threads of the entry port, which all client accounts share. So
that a flood of one account takes no other account's threads, a newcomer displaces a
request of the account that has most requests waiting for its weight.
"""

from collections import Counter
from collections.abc import Iterable

from .entry import Entry


def find_displaced(waiting: Iterable[Entry], newcomer: Entry) -> Entry | None:
    """Return the waiting request that is refused in favour of ``newcomer``.

    Parameters
    ----------
    waiting : iterable of Entry
        Requests whose threads could be freed.
    newcomer : Entry
        A request that finds no thread.

    Returns
    -------
    Entry or None
        The least urgent and newest request of the most crowding account, never one
        that is more urgent than ``newcomer``; None if no account crowds it out.
    """
    entries = [entry for entry in waiting if entry.state == "waiting"]
    n_waiting = Counter(_account(entry) for entry in entries)
    n_own = n_waiting[_account(newcomer)] + 1
    candidates = [
        entry
        for entry in entries
        if entry.query.rank >= newcomer.query.rank
        and _crowding(entry, n_waiting[_account(entry)]) > _crowding(newcomer, n_own)
    ]
    return max(
        candidates,
        key=lambda entry: (
            _crowding(entry, n_waiting[_account(entry)]),
            entry.query.rank,
            entry.arrived_at_ms,
        ),
        default=None,
    )


def _account(entry: Entry) -> str:
    return entry.query.client_account


def _crowding(entry: Entry, n_waiting: int) -> float:
    return n_waiting / entry.query.weight
