"""Whether the key-value service answers, as the last calls found it."""


class Reachability:
    """The last time at which the service did not answer.

    Parameters
    ----------
    retry_ms : float
        After this time without a call it is worth trying again.
    """

    def __init__(self, retry_ms: float) -> None:
        self._retry_ms = retry_ms
        self._failed_at_ms: float | None = None

    def record(self, has_answered: bool, now_ms: float) -> None:
        """Take in how a call went."""
        self._failed_at_ms = None if has_answered else now_ms

    @property
    def is_down(self) -> bool:
        """Whether the last call got no answer."""
        return self._failed_at_ms is not None

    def may_try(self, now_ms: float) -> bool:
        """Return whether a call may get an answer, as far as is known."""
        failed_at_ms = self._failed_at_ms
        return failed_at_ms is None or now_ms - failed_at_ms >= self._retry_ms
