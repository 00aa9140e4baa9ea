"""Tracks whether the key-value service is reachable, from the last calls."""


class Reachability:
    """The time of the last call if it got no response.

    Parameters
    ----------
    retry_ms : float
        Time after a failed call from which on another call is worth trying.
    """

    def __init__(self, retry_ms: float) -> None:
        self._retry_ms = retry_ms
        self._failed_at_ms: float | None = None

    def record(self, has_answered: bool, now_ms: float) -> None:
        """Record whether a call got a response."""
        self._failed_at_ms = None if has_answered else now_ms

    @property
    def is_down(self) -> bool:
        """Whether the last recorded call got no response."""
        return self._failed_at_ms is not None

    def may_try(self, now_ms: float) -> bool:
        """Return whether a call is worth trying now."""
        failed_at_ms = self._failed_at_ms
        return failed_at_ms is None or now_ms - failed_at_ms >= self._retry_ms
