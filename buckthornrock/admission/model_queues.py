"""Admission to the engines of one model: ranks, windows and early refusal.

Work is either urgent or deferrable, and has a rank; a lower rank is more urgent. Urgent
work goes first, but deferrable work has a minimum share of what is admitted (the
deferrable floor). Nothing here reads a clock, blocks or wakes a thread;
:mod:`.blocking` does.
"""

from typing import NamedTuple

from .cost import CostModel
from .errors import AdmissionFailure, QueueFull, TooLate
from .fair_queue import FairQueue
from .policy import ModelCapacity
from .request import AdmissionRequest
from .window import DrainRate, Window

#: Shortest retry-after time of a refusal.
MIN_RETRY_MS = 100
#: Limit of the floor's credit in tokens of work, positive or negative.
MAX_FLOOR_CREDIT_TOKENS = 100_000.0
#: Share of the target that the estimated wait plus time to first token may use; the
#: rest allows for errors of the estimate.
TARGET_USABLE_SHARE = 0.75
#: Weight of the newest request in the moving average of the cost.
COST_LEARNING_RATE = 0.05
#: Weight of the newest time to first token in its moving average.
TTFT_LEARNING_RATE = 0.1


class ModelQueueConfig(NamedTuple):
    """Settings of the queues of one model.

    Parameters
    ----------
    urgent_headroom : float
        Share of the window that deferrable work leaves free, so that an urgent
        request can be admitted without waiting.
    max_deferrable_wait_ms : float
        Longest estimated wait at which a deferrable request with a waiting caller
        is queued.
    min_requests_per_engine : float
        Requests of all instances together that may be in flight at an engine
        however long its delay is.
    """

    urgent_headroom: float
    max_deferrable_wait_ms: float
    min_requests_per_engine: float


class ModelQueues:
    """The queues of one model and the work in flight at its engines.

    Attributes
    ----------
    in_flight_tokens : float
        Estimated work of the admitted requests.
    """

    def __init__(
        self,
        config: ModelQueueConfig,
        cost_model: CostModel,
        window: Window,
        deferrable: Window,
    ) -> None:
        self._config = config
        self._cost = cost_model
        self.window = window
        # Engines serve by priority, so late first tokens of deferrable work say
        # nothing about the capacity that urgent work finds. The window of deferrable
        # work follows the first tokens of all work, that of urgent work only its own.
        self.deferrable_window = deferrable
        self._urgent: dict[int, FairQueue] = {}
        self._deferrable: dict[int, FairQueue] = {}
        self._drain = DrainRate()
        self._ttfts_ms: dict[bool, float] = {}
        self._capacity = ModelCapacity(0, 0.0)
        self._floor = 0.0
        self._floor_credit_tokens = 0.0
        self._mean_cost_tokens = 0.0
        self.in_flight_tokens = 0.0
        self._in_flight_deferrable_tokens = 0.0

    @property
    def n_waiting_tokens(self) -> float:
        """Estimated work of the waiting requests of all ranks."""
        return _total(self._urgent) + _total(self._deferrable)

    @property
    def n_waiting(self) -> int:
        """Number of waiting requests of all ranks."""
        queues = (*self._urgent.values(), *self._deferrable.values())
        return sum(queue.n_waiting for queue in queues)

    def set_capacity(self, capacity: ModelCapacity) -> None:
        """Set the capacity of the engines that accept new work."""
        self._capacity = capacity

    def offer(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionFailure | None:
        """Queue ``request``, or return why it is refused.

        :meth:`dispatch` admits a queued request when its turn comes.
        """
        if not self._can_start_now(request):
            failure = self._refusal(request, now_ms)
            if failure is not None:
                return failure
        self._queue_of(request).push(request)
        if request.policy.is_deferrable:
            self._floor = request.policy.deferrable_floor
        request.state = "waiting"
        return None

    def dispatch(self, now_ms: float) -> list[AdmissionRequest]:
        """Admit requests in order as long as the next one fits the window."""
        admitted: list[AdmissionRequest] = []
        while True:
            request = self._next()
            if request is None or not self._has_capacity(request):
                break
            self._update_floor_credit(request)
            self._queue_of(request).pop()
            request.state = "admitted"
            request.admitted_at_ms = now_ms
            self._update_mean_cost(request.cost_tokens)
            self._count_in_flight(request, request.cost_tokens)
            admitted.append(request)
        self._observe_load(0.0, now_ms)
        return admitted

    def withdraw(self, request: AdmissionRequest, now_ms: float) -> None:
        """Remove a waiting request whose caller is gone."""
        self._queue_of(request).remove(request)
        request.state = "gone"
        self._observe_load(0.0, now_ms)

    def expire(self, request: AdmissionRequest, now_ms: float) -> None:
        """Refuse a waiting request whose deadline has passed."""
        self.withdraw(request, now_ms)
        request.state = "refused"
        waited_ms = int(now_ms - request.arrived_at_ms)
        drain_ms = 1000.0 * self.n_waiting_tokens / self._drain_tokens_per_s()
        request.failure = TooLate(waited_ms, self._retry_after_ms(drain_ms))

    def note_first_token(
        self,
        request: AdmissionRequest,
        n_computed_tokens: int,
        ttft_ms: float,
        now_ms: float,
    ) -> None:
        """Update the windows with a first token as soon as it arrives.

        At the end of the response the sample would be seconds old.
        """
        prefill_ms = self._expected_prefill_ms(n_computed_tokens)
        sample = (ttft_ms, prefill_ms, request.admitted_at_ms, now_ms)
        self.deferrable_window.note_first_token(*sample)
        self._update_mean_ttft(request, ttft_ms)
        if not request.policy.is_deferrable:
            self.window.note_first_token(*sample)

    def release(
        self,
        request: AdmissionRequest,
        n_computed_tokens: int,
        n_output_tokens: int,
        has_first_token: bool,
        now_ms: float,
    ) -> None:
        """Free the capacity of an admitted request and correct its charge.

        ``has_first_token`` is whether the response got as far as a first token; the
        averages are updated only then.
        """
        self._count_in_flight(request, -request.cost_tokens)
        done_tokens = self._cost.tokens(n_computed_tokens, n_output_tokens)
        if has_first_token:
            self._cost.learn(request.query, n_computed_tokens, n_output_tokens)
            self._drain.note_hold(now_ms - request.admitted_at_ms)
        extra_tokens = done_tokens - request.cost_tokens
        self._queue_of(request).correct(request, extra_tokens)
        if request.policy.is_deferrable:
            self._add_floor_credit(-extra_tokens)
        self._observe_load(done_tokens, now_ms)

    def estimated_wait_ms(self, request: AdmissionRequest) -> float:
        """Return how long ``request`` would wait if it were queued now."""
        rate = self._drain_tokens_per_s()
        urgent_ahead = self._more_urgent_tokens(request)
        own_ahead = self._queue_of(request).tokens_ahead(request) - request.cost_tokens
        floor = self._floor if _total(self._deferrable) else 0.0
        if not request.policy.is_deferrable:
            usable = rate * max(0.01, 1.0 - floor)
            return 1000.0 * (urgent_ahead + own_ahead) / usable
        by_rank_ms = 1000.0 * (urgent_ahead + own_ahead) / rate
        if floor <= 0.0:
            return by_rank_ms
        return min(by_rank_ms, 1000.0 * own_ahead / (rate * floor))

    def _refusal(
        self, request: AdmissionRequest, now_ms: float
    ) -> AdmissionFailure | None:
        if request.query.is_deferred:
            return None
        wait_ms = self.estimated_wait_ms(request)
        remaining_ms = request.query.deadline_at_ms - now_ms
        if wait_ms <= 0.0 and remaining_ms > 0.0:
            # A request that need not wait is admitted even if the mean time to first
            # token is beyond its deadline. Otherwise a mean that was once long would
            # refuse all requests and could never be measured to be short again.
            return None
        spare_ms = remaining_ms - self._mean_ttft_ms(request)
        if wait_ms > spare_ms:
            return TooLate(int(wait_ms), self._retry_after_ms(wait_ms - spare_ms))
        longest_ms = self._longest_wait_ms(request)
        if wait_ms > longest_ms:
            retry_after_ms = self._retry_after_ms(wait_ms - longest_ms)
            return QueueFull(request.query.rank, retry_after_ms)
        return None

    def _longest_wait_ms(self, request: AdmissionRequest) -> float:
        """Return the longest estimated wait at which ``request`` is still queued."""
        if request.policy.is_deferrable:
            return self._config.max_deferrable_wait_ms
        target_ms = TARGET_USABLE_SHARE * request.policy.ttft_target_ms
        return max(0.0, target_ms - self._mean_ttft_ms(request))

    def _mean_ttft_ms(self, request: AdmissionRequest) -> float:
        return self._ttfts_ms.get(request.policy.is_deferrable, 0.0)

    def _update_mean_ttft(self, request: AdmissionRequest, ttft_ms: float) -> None:
        # Engines prefer urgent work, so urgent and deferrable work have separate
        # averages.
        mean_ms = self._ttfts_ms.get(request.policy.is_deferrable, ttft_ms)
        mean_ms += TTFT_LEARNING_RATE * (ttft_ms - mean_ms)
        self._ttfts_ms[request.policy.is_deferrable] = mean_ms

    def _drain_tokens_per_s(self) -> float:
        return self._drain.tokens_per_s(self._capacity.prefill_tokens_per_s)

    def _retry_after_ms(self, excess_ms: float) -> int:
        return max(MIN_RETRY_MS, int(excess_ms))

    def _can_start_now(self, request: AdmissionRequest) -> bool:
        return self._next() is None and self._has_capacity(request)

    def _has_capacity(self, request: AdmissionRequest) -> bool:
        """Return whether ``request`` fits the window now.

        Engines serve by priority, so deferrable work in flight hardly delays urgent
        work and isn't counted against it. Deferrable work uses the capacity that
        urgent work leaves, or more than that while its floor is due.
        """
        if self.in_flight_tokens <= 0.0 or not self._capacity.n_engines:
            return True
        limit_tokens = self._limit_tokens(self._window_of(request))
        if not request.policy.is_deferrable:
            deferrable_tokens = self._in_flight_deferrable_tokens
            return _fits(
                self.in_flight_tokens - deferrable_tokens, request, limit_tokens
            )
        if self._is_floor_due(request):
            return True
        limit_tokens *= 1.0 - self._config.urgent_headroom
        return self.in_flight_tokens + request.cost_tokens <= limit_tokens

    def _count_in_flight(self, request: AdmissionRequest, n_tokens: float) -> None:
        self.in_flight_tokens = max(0.0, self.in_flight_tokens + n_tokens)
        if request.policy.is_deferrable:
            tokens = self._in_flight_deferrable_tokens + n_tokens
            self._in_flight_deferrable_tokens = max(0.0, tokens)

    def _update_mean_cost(self, cost_tokens: float) -> None:
        weight = COST_LEARNING_RATE if self._mean_cost_tokens else 1.0
        self._mean_cost_tokens += weight * (cost_tokens - self._mean_cost_tokens)

    def _window_of(self, request: AdmissionRequest) -> Window:
        is_deferrable = request.policy.is_deferrable
        return self.deferrable_window if is_deferrable else self.window

    def _limit_tokens(self, window: Window) -> float:
        """Return this instance's window over all engines.

        However late first tokens are, the window admits a few requests per engine
        over the whole fleet, since fewer would only leave the engines idle.
        """
        capacity = self._capacity
        n_requests = self._config.min_requests_per_engine / capacity.n_instances
        least = n_requests * self._mean_cost_tokens
        return capacity.n_engines * max(window.tokens_per_engine, least)

    def _next(self) -> AdmissionRequest | None:
        urgent = _first(self._urgent)
        deferrable = _first(self._deferrable)
        if urgent is None or deferrable is None:
            return urgent or deferrable
        return deferrable if self._is_floor_due(deferrable) else urgent

    def _is_floor_due(self, request: AdmissionRequest) -> bool:
        if _first(self._urgent) is None:
            return False
        if self._floor_credit_tokens < request.cost_tokens:
            return False
        # Deferrable work that already has its share of the window in flight waits for
        # that work to end instead of holding up urgent work.
        limit_tokens = self._limit_tokens(self.window)
        floor_tokens = self._floor / max(0.01, 1.0 - self._floor) * limit_tokens
        return self._in_flight_deferrable_tokens < floor_tokens

    def _update_floor_credit(self, request: AdmissionRequest) -> None:
        """Credit deferrable work with its share of the work that is admitted.

        The credit changes only while both kinds of work wait, so that spare capacity
        which deferrable work used earlier doesn't count against it.
        """
        if _first(self._urgent) is None or _first(self._deferrable) is None:
            return
        self._add_floor_credit(self._floor * request.cost_tokens)
        if request.policy.is_deferrable:
            self._add_floor_credit(-request.cost_tokens)

    def _add_floor_credit(self, n_tokens: float) -> None:
        credit = self._floor_credit_tokens + n_tokens
        bounded = min(MAX_FLOOR_CREDIT_TOKENS, max(-MAX_FLOOR_CREDIT_TOKENS, credit))
        self._floor_credit_tokens = bounded

    def _more_urgent_tokens(self, request: AdmissionRequest) -> float:
        rank = request.query.rank
        if request.policy.is_deferrable:
            return _total(self._urgent) + _total(self._deferrable, below=rank)
        return _total(self._urgent, below=rank)

    def _expected_prefill_ms(self, n_computed_tokens: int) -> float:
        n_engines = max(1, self._capacity.n_engines)
        rate = self._capacity.prefill_tokens_per_s / n_engines
        return 1000.0 * n_computed_tokens / rate if rate > 0.0 else 0.0

    def _queue_of(self, request: AdmissionRequest) -> FairQueue:
        queues = self._deferrable if request.policy.is_deferrable else self._urgent
        return queues.setdefault(request.query.rank, FairQueue())

    def _observe_load(self, done_tokens: float, now_ms: float) -> None:
        self._drain.observe(self._next() is not None, done_tokens, now_ms)
        urgent = self.in_flight_tokens - self._in_flight_deferrable_tokens
        self._note_use(self.window, urgent + _total(self._urgent))
        waiting = _total(self._deferrable)
        self._note_use(self.deferrable_window, self.in_flight_tokens + waiting)

    def _note_use(self, window: Window, n_tokens: float) -> None:
        limit_tokens = self._limit_tokens(window)
        if limit_tokens > 0.0:
            window.note_use(n_tokens / limit_tokens)


def _fits(n_tokens: float, request: AdmissionRequest, limit_tokens: float) -> bool:
    return n_tokens <= 0.0 or n_tokens + request.cost_tokens <= limit_tokens


def _first(queues: dict[int, FairQueue]) -> AdmissionRequest | None:
    ranks = [rank for rank, queue in queues.items() if queue.n_waiting]
    return queues[min(ranks)].first() if ranks else None


def _total(queues: dict[int, FairQueue], below: int | None = None) -> float:
    return sum(
        queue.n_waiting_tokens
        for rank, queue in queues.items()
        if below is None or rank < below
    )
