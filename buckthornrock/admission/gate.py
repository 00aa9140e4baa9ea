"""Admission to the engines of one model: ranks, floor, window and early refusal.

Nothing here reads a clock, blocks or wakes a thread; :mod:`.front` does.
"""

from typing import NamedTuple

from .cost import CostModel
from .entry import Entry
from .errors import AdmissionFailure, QueueFull, TooLate
from .fair_queue import FairQueue
from .policy import ModelCapacity
from .window import DrainRate, Window

#: Shortest time after which a refused caller is told to come back.
MIN_RETRY_MS = 100
#: The floor's credit is kept within this many tokens of work on either side.
MAX_FLOOR_CREDIT_TOKENS = 100_000.0
#: Weight of the newest time to first token in the mean.
TTFT_LEARNING_RATE = 0.1


class GateRules(NamedTuple):
    """Settings of a gate.

    Parameters
    ----------
    urgent_headroom : float
        Share of the window that deferrable work leaves free, so that an urgent
        request finds a place without waiting for one.
    max_deferrable_wait_ms : float
        Longest estimated wait of a deferrable request whose caller waits.
    """

    urgent_headroom: float
    max_deferrable_wait_ms: float


class Gate:
    """The queues of one model and the work that is at its engines.

    Attributes
    ----------
    in_flight_tokens : float
        Estimated work of the admitted requests.
    """

    def __init__(self, rules: GateRules, cost: CostModel, window: Window) -> None:
        self._rules = rules
        self._cost = cost
        self.window = window
        self._urgent: dict[int, FairQueue] = {}
        self._deferrable: dict[int, FairQueue] = {}
        self._drain = DrainRate()
        self._ttfts_ms: dict[bool, float] = {}
        self._capacity = ModelCapacity(0, 0.0)
        self._floor = 0.0
        self._floor_credit_tokens = 0.0
        self.in_flight_tokens = 0.0

    @property
    def n_waiting_tokens(self) -> float:
        """Work that waits, of all ranks."""
        return _total(self._urgent) + _total(self._deferrable)

    @property
    def n_waiting(self) -> int:
        """Requests that wait, of all ranks."""
        queues = (*self._urgent.values(), *self._deferrable.values())
        return sum(queue.n_waiting for queue in queues)

    def set_capacity(self, capacity: ModelCapacity) -> None:
        """Take note of the engines that may get new work."""
        self._capacity = capacity

    def offer(self, entry: Entry, now_ms: float) -> AdmissionFailure | None:
        """Queue ``entry``, or return why it is refused.

        A queued entry gets its turn from :meth:`dispatch`.
        """
        if not self._finds_place(entry):
            failure = self._refusal(entry, now_ms)
            if failure is not None:
                return failure
        self._queue_of(entry).push(entry)
        if entry.policy.is_deferrable:
            self._floor = entry.policy.deferrable_floor
        entry.state = "waiting"
        return None

    def dispatch(self, now_ms: float) -> list[Entry]:
        """Admit every request whose turn it is and that has a place."""
        admitted: list[Entry] = []
        while True:
            entry = self._next()
            if entry is None or not self._has_place(entry):
                break
            self._account_floor(entry)
            self._queue_of(entry).pop()
            entry.state = "admitted"
            entry.admitted_at_ms = now_ms
            self.in_flight_tokens += entry.cost_tokens
            admitted.append(entry)
        self._note_state(0.0, now_ms)
        return admitted

    def withdraw(self, entry: Entry, now_ms: float) -> None:
        """Take out a waiting request whose caller is gone."""
        self._queue_of(entry).remove(entry)
        entry.state = "gone"
        self._note_state(0.0, now_ms)

    def give_up(self, entry: Entry, now_ms: float) -> None:
        """Refuse a waiting request whose deadline has passed."""
        self.withdraw(entry, now_ms)
        entry.state = "refused"
        waited_ms = int(now_ms - entry.arrived_at_ms)
        drain_ms = 1000.0 * self.n_waiting_tokens / self._drain_tokens_per_s()
        entry.failure = TooLate(waited_ms, self._retry_after_ms(drain_ms))

    def release(
        self,
        entry: Entry,
        n_computed_tokens: int,
        n_output_tokens: int,
        ttft_ms: float | None,
        now_ms: float,
    ) -> None:
        """Free the place of an admitted request and correct its charge."""
        self.in_flight_tokens = max(0.0, self.in_flight_tokens - entry.cost_tokens)
        done_tokens = self._cost.tokens(n_computed_tokens, n_output_tokens)
        if ttft_ms is not None:
            self._cost.learn(entry.query, n_computed_tokens, n_output_tokens)
            self._learn_ttft(entry, ttft_ms)
            own_ms = self._own_prefill_ms(n_computed_tokens)
            self.window.note_first_token(ttft_ms, own_ms, now_ms)
        extra_tokens = done_tokens - entry.cost_tokens
        self._queue_of(entry).correct(entry, extra_tokens)
        if entry.policy.is_deferrable:
            self._add_floor_credit(-extra_tokens)
        self._note_state(done_tokens, now_ms)

    def estimated_wait_ms(self, entry: Entry) -> float:
        """Return how long ``entry`` would wait, were it queued now."""
        rate = self._drain_tokens_per_s()
        urgent_ahead = self._more_urgent_tokens(entry)
        own_ahead = self._queue_of(entry).tokens_ahead(entry) - entry.cost_tokens
        floor = self._floor if _total(self._deferrable) else 0.0
        if not entry.policy.is_deferrable:
            usable = rate * max(0.01, 1.0 - floor)
            return 1000.0 * (urgent_ahead + own_ahead) / usable
        by_rank_ms = 1000.0 * (urgent_ahead + own_ahead) / rate
        if floor <= 0.0:
            return by_rank_ms
        return min(by_rank_ms, 1000.0 * own_ahead / (rate * floor))

    def _refusal(self, entry: Entry, now_ms: float) -> AdmissionFailure | None:
        if entry.query.is_deferred:
            return None
        wait_ms = self.estimated_wait_ms(entry)
        remaining_ms = entry.query.deadline_at_ms - now_ms
        if wait_ms <= 0.0 and remaining_ms > 0.0:
            # The first in line is how a time to first token that was once long is
            # found to be short again.
            return None
        spare_ms = remaining_ms - self._mean_ttft_ms(entry)
        if wait_ms > spare_ms:
            return TooLate(int(wait_ms), self._retry_after_ms(wait_ms - spare_ms))
        longest_ms = self._longest_wait_ms(entry)
        if wait_ms > longest_ms:
            retry_after_ms = self._retry_after_ms(wait_ms - longest_ms)
            return QueueFull(entry.query.rank, retry_after_ms)
        return None

    def _longest_wait_ms(self, entry: Entry) -> float:
        """Return the bound on the queue, as the time that its work takes."""
        if entry.policy.is_deferrable:
            return self._rules.max_deferrable_wait_ms
        return max(0.0, entry.policy.ttft_target_ms - self._mean_ttft_ms(entry))

    def _mean_ttft_ms(self, entry: Entry) -> float:
        return self._ttfts_ms.get(entry.policy.is_deferrable, 0.0)

    def _learn_ttft(self, entry: Entry, ttft_ms: float) -> None:
        # Engines prefer urgent work, so the two kinds have times of their own.
        mean_ms = self._ttfts_ms.get(entry.policy.is_deferrable, ttft_ms)
        mean_ms += TTFT_LEARNING_RATE * (ttft_ms - mean_ms)
        self._ttfts_ms[entry.policy.is_deferrable] = mean_ms

    def _drain_tokens_per_s(self) -> float:
        return self._drain.tokens_per_s(self._capacity.prefill_tokens_per_s)

    def _retry_after_ms(self, excess_ms: float) -> int:
        return max(MIN_RETRY_MS, int(excess_ms))

    def _finds_place(self, entry: Entry) -> bool:
        return self._next() is None and self._has_place(entry)

    def _has_place(self, entry: Entry) -> bool:
        if self.in_flight_tokens <= 0.0 or not self._capacity.n_engines:
            return True
        limit = self._limit_tokens()
        if entry.policy.is_deferrable and not self._is_floor_due(entry):
            limit *= 1.0 - self._rules.urgent_headroom
        return self.in_flight_tokens + entry.cost_tokens <= limit

    def _limit_tokens(self) -> float:
        return self.window.tokens_per_engine * self._capacity.n_engines

    def _next(self) -> Entry | None:
        urgent = _first(self._urgent)
        deferrable = _first(self._deferrable)
        if urgent is None or deferrable is None:
            return urgent or deferrable
        return deferrable if self._is_floor_due(deferrable) else urgent

    def _is_floor_due(self, entry: Entry) -> bool:
        has_urgent = any(queue.n_waiting for queue in self._urgent.values())
        return has_urgent and self._floor_credit_tokens >= entry.cost_tokens

    def _account_floor(self, entry: Entry) -> None:
        """Credit deferrable work with its floor of all that is admitted.

        Only while both kinds wait: spare capacity that deferrable work used earlier
        is not held against it.
        """
        if _first(self._urgent) is None or _first(self._deferrable) is None:
            return
        self._add_floor_credit(self._floor * entry.cost_tokens)
        if entry.policy.is_deferrable:
            self._add_floor_credit(-entry.cost_tokens)

    def _add_floor_credit(self, n_tokens: float) -> None:
        credit = self._floor_credit_tokens + n_tokens
        bounded = min(MAX_FLOOR_CREDIT_TOKENS, max(-MAX_FLOOR_CREDIT_TOKENS, credit))
        self._floor_credit_tokens = bounded

    def _more_urgent_tokens(self, entry: Entry) -> float:
        rank = entry.query.rank
        if entry.policy.is_deferrable:
            return _total(self._urgent) + _total(self._deferrable, below=rank)
        return _total(self._urgent, below=rank)

    def _own_prefill_ms(self, n_computed_tokens: int) -> float:
        n_engines = max(1, self._capacity.n_engines)
        rate = self._capacity.prefill_tokens_per_s / n_engines
        return 1000.0 * n_computed_tokens / rate if rate > 0.0 else 0.0

    def _queue_of(self, entry: Entry) -> FairQueue:
        queues = self._deferrable if entry.policy.is_deferrable else self._urgent
        return queues.setdefault(entry.query.rank, FairQueue())

    def _note_state(self, done_tokens: float, now_ms: float) -> None:
        self._drain.observe(self._next() is not None, done_tokens, now_ms)
        limit = self._limit_tokens()
        if limit > 0.0:
            waiting = self.n_waiting_tokens
            self.window.note_use((self.in_flight_tokens + waiting) / limit)


def _first(queues: dict[int, FairQueue]) -> Entry | None:
    ranks = [rank for rank, queue in queues.items() if queue.n_waiting]
    return queues[min(ranks)].first() if ranks else None


def _total(queues: dict[int, FairQueue], below: int | None = None) -> float:
    return sum(
        queue.n_waiting_tokens
        for rank, queue in queues.items()
        if below is None or rank < below
    )
