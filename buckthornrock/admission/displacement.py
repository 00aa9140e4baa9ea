"""Whose waiting request makes room when callers' threads run out.

Waiting requests hold threads of the entry port, which all client accounts share. So
that a flood of one account takes no other account's threads, a newcomer displaces a
request of the account that has most requests waiting for its weight.
"""

from collections import Counter
from collections.abc import Iterable

from .request import AdmissionRequest


def find_displaced(
    waiting: Iterable[AdmissionRequest], newcomer: AdmissionRequest
) -> AdmissionRequest | None:
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
    requests = [request for request in waiting if request.state == "waiting"]
    n_waiting = Counter(_account(request) for request in requests)
    n_own = n_waiting[_account(newcomer)] + 1
    candidates = [
        request
        for request in requests
        if request.query.rank >= newcomer.query.rank
        and _crowding(request, n_waiting[_account(request)])
        > _crowding(newcomer, n_own)
    ]
    return max(
        candidates,
        key=lambda request: (
            _crowding(request, n_waiting[_account(request)]),
            request.query.rank,
            request.arrived_at_ms,
        ),
        default=None,
    )


def _account(request: AdmissionRequest) -> str:
    return request.query.client_account


def _crowding(request: AdmissionRequest, n_waiting: int) -> float:
    return n_waiting / request.query.weight
