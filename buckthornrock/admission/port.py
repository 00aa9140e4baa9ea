"""The port through which requests wait for their turn."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..errors import CallerGone
from .errors import AdmissionFailure


class AdmissionQuery(NamedTuple):
    """What asks for admission.

    Parameters
    ----------
    n_prompt_tokens, n_output_tokens : int
        Estimated work.
    deadline_at_ms : float
        Monotonic time by which the first token is worth having.
    is_deferred : bool
        Whether this is a deferred job, which may wait without a caller.
    """

    request_id: str
    client_account: str
    member: str
    profile: str
    work_class: str
    rank: int
    weight: float
    worth: float
    model: str
    n_prompt_tokens: int
    n_output_tokens: int
    deadline_at_ms: float
    is_deferred: bool


class Ticket(NamedTuple):
    """Leave to send; must be released exactly once."""

    query: AdmissionQuery
    admitted_at_ms: float
    waited_ms: float


class AdmissionPort(NamedTuple):
    """Functions of admission.

    Parameters
    ----------
    admit : callable
        ``admit(query, is_abandoned) -> Result[Ticket, failure]``; blocks until it
        is the request's turn. ``is_abandoned()`` is polled while waiting and tells
        that the caller is gone, which frees its place.
    release : callable
        ``release(ticket, n_computed_tokens, n_output_tokens, has_first_token)``.
    note_first_token : callable
        ``note_first_token(ticket, n_computed_tokens, ttft_ms)``, when it comes; must
        not block.
    """

    admit: Callable[
        [AdmissionQuery, Callable[[], bool]],
        Result[Ticket, AdmissionFailure | CallerGone],
    ]
    release: Callable[[Ticket, int, int, bool], None]
    note_first_token: Callable[[Ticket, int, float], None]
