"""Chooses the waiting request to refuse when the caller threads run out.

Waiting requests hold threads of the entry port, which all client accounts share. To
keep a flood from one account from taking all threads, a new request that finds no
thread displaces a waiting request of the account that has the most requests waiting
in proportion to its weight.
"""

from collections import Counter
from collections.abc import Iterable

from .request import AdmissionRequest


def find_displaced(
    waiting: Iterable[AdmissionRequest], new_request: AdmissionRequest
) -> AdmissionRequest | None:
    """Return the waiting request that is refused in favour of ``new_request``.

    Parameters
    ----------
    waiting : iterable of AdmissionRequest
        Requests whose threads could be freed.
    new_request : AdmissionRequest
        A request that finds no thread.

    Returns
    -------
    AdmissionRequest or None
        The least urgent request, and the newest among these, of the account with
        the highest number of waiting requests per weight. It is never more urgent
        than ``new_request``. None if no account has more waiting per weight than
        the account of ``new_request``.
    """
    requests = [request for request in waiting if request.state == "waiting"]
    n_waiting = Counter(_account(request) for request in requests)
    n_own_waiting = n_waiting[_account(new_request)] + 1
    candidates = [
        request
        for request in requests
        if request.query.rank >= new_request.query.rank
        and _n_waiting_per_weight(request, n_waiting[_account(request)])
        > _n_waiting_per_weight(new_request, n_own_waiting)
    ]
    return max(
        candidates,
        key=lambda request: (
            _n_waiting_per_weight(request, n_waiting[_account(request)]),
            request.query.rank,
            request.arrived_at_ms,
        ),
        default=None,
    )


def _account(request: AdmissionRequest) -> str:
    return request.query.client_account


def _n_waiting_per_weight(request: AdmissionRequest, n_waiting: int) -> float:
    return n_waiting / request.query.weight
