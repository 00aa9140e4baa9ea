"""Admission that admits every request at once."""

from collections.abc import Callable

from expression import Ok, Result

from .errors import AdmissionFailure
from .port import AdmissionPort, AdmissionQuery, Ticket


def open_unlimited(now_ms: Callable[[], float]) -> AdmissionPort:
    """Return admission without limits or queues."""

    def admit(
        query: AdmissionQuery, is_abandoned: Callable[[], bool]
    ) -> Result[Ticket, AdmissionFailure]:
        return Ok(Ticket(query, now_ms(), 0.0))

    def release(
        ticket: Ticket,
        n_computed_tokens: int,
        n_output_tokens: int,
        has_first_token: bool,
    ) -> None:
        """Do nothing, since a ticket holds no capacity."""

    def note_first_token(
        ticket: Ticket, n_computed_tokens: int, ttft_ms: float
    ) -> None:
        """Do nothing, since there is no window to adapt."""

    return AdmissionPort(admit, release, note_first_token)
