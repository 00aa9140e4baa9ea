"""The interface through which requests are admitted."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..errors import CallerGone
from .errors import AdmissionFailure


class AdmissionQuery(NamedTuple):
    """A request for admission.

    Parameters
    ----------
    n_prompt_tokens, n_output_tokens : int
        Estimated work.
    deadline_at_ms : float
        Monotonic time after which the first token is no longer useful.
    is_deferred : bool
        Whether this is a deferred job, which has no caller waiting for it.
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
    """Permission to send a request upstream; it must be released exactly once."""

    query: AdmissionQuery
    admitted_at_ms: float
    waited_ms: float


class AdmissionPort(NamedTuple):
    """Functions of admission.

    Parameters
    ----------
    admit : callable
        ``admit(query, is_abandoned) -> Result[Ticket, failure]``; blocks until it
        is the request's turn. ``is_abandoned()`` is polled while the request waits;
        once it returns true, the request is removed from the queue.
    release : callable
        ``release(ticket, n_computed_tokens, n_output_tokens, has_first_token)``.
    note_first_token : callable
        ``note_first_token(ticket, n_computed_tokens, ttft_ms)``, called when the
        first token arrives; must not block.
    """

    admit: Callable[
        [AdmissionQuery, Callable[[], bool]],
        Result[Ticket, AdmissionFailure | CallerGone],
    ]
    release: Callable[[Ticket, int, int, bool], None]
    note_first_token: Callable[[Ticket, int, float], None]
