"""Bounds the retries of requests at other upstreams, fleet-wide.

Each instance may use an equal share of the fleet's fixed allowance, plus a ratio of
the requests that it serves itself. The sum over all instances is the fleet's bound.
"""

from collections import defaultdict, deque

#: Share of the budget that is used. The rest is a margin for instances that disagree
#: on the size of the fleet.
SAFETY_SHARE = 0.8


class RetryBudget:
    """Counts requests and retries in a sliding window, by service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    allowance : float
        Additional retries per window allowed to the whole fleet.
    window_ms : float
        Length of the window.
    """

    def __init__(self, ratio: float, allowance: float, window_ms: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_ms = window_ms
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)

    def on_request(self, service: str, now_ms: float) -> None:
        """Count a client's request for ``service``."""
        self._requests[service].append(now_ms)
        self._trim(self._requests[service], now_ms)

    def allows(self, service: str, n_instances: int, now_ms: float) -> bool:
        """Return whether the budget allows a retry now."""
        retries, requests = self._retries[service], self._requests[service]
        self._trim(retries, now_ms)
        self._trim(requests, now_ms)
        allowed = self._ratio * len(requests) + self._allowance / max(1, n_instances)
        return len(retries) + 1 <= allowed * SAFETY_SHARE

    def take(self, service: str, n_instances: int, now_ms: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if not self.allows(service, n_instances, now_ms):
            return False
        self._retries[service].append(now_ms)
        return True

    def _trim(self, times_ms: deque[float], now_ms: float) -> None:
        while times_ms and times_ms[0] <= now_ms - self._window_ms:
            times_ms.popleft()
