"""The rate-limited weight store: how long servers take to load weights."""

from typing import NamedTuple


class WeightStoreParameters(NamedTuple):
    """Rate of the store.

    ``n_full_rate_loads`` servers load in ``load_ms`` each; more share the rate.
    """

    load_ms: float = 2_500.0
    n_full_rate_loads: int = 3


class WeightStore:
    """Shares the store's rate among the loads in progress; pure."""

    def __init__(self, parameters: WeightStoreParameters | None = None) -> None:
        self._parameters = parameters or WeightStoreParameters()
        self._remaining_ms: dict[str, float] = {}
        self._at_ms = 0.0

    def begin(self, load_id: str, now_ms: float) -> None:
        """Begin a load; ``load_id`` is the caller's name for it."""
        self._advance(now_ms)
        self._remaining_ms[load_id] = self._parameters.load_ms

    def is_done(self, load_id: str, now_ms: float) -> bool:
        """Return whether a load has ended, or was never begun."""
        self._advance(now_ms)
        return load_id not in self._remaining_ms

    def abandon(self, load_id: str, now_ms: float) -> None:
        """End a load early, as a crash does."""
        self._advance(now_ms)
        self._remaining_ms.pop(load_id, None)

    def n_loads(self, now_ms: float) -> int:
        """Return the number of loads in progress."""
        self._advance(now_ms)
        return len(self._remaining_ms)

    def _advance(self, now_ms: float) -> None:
        while self._remaining_ms and self._at_ms < now_ms:
            n_loads = len(self._remaining_ms)
            rate = min(1.0, self._parameters.n_full_rate_loads / n_loads)
            until_next_ms = min(self._remaining_ms.values()) / rate
            passed_ms = min(now_ms - self._at_ms, until_next_ms)
            self._at_ms += passed_ms
            left = {k: v - passed_ms * rate for k, v in self._remaining_ms.items()}
            self._remaining_ms = {k: v for k, v in left.items() if v > 1e-6}
        self._at_ms = max(self._at_ms, now_ms)
