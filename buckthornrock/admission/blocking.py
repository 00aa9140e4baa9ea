"""Blocking admission: the threads of callers wait here for their turn."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..errors import CallerGone
from .cost import CostModel
from .displacement import find_displaced
from .errors import AdmissionFailure, LimitReached, QueueFull
from .model_queues import ModelQueueConfig, ModelQueues
from .policy import CapacityLookup, ModelCapacity, PolicyLookup
from .port import AdmissionPort, AdmissionQuery, Ticket
from .request import AdmissionRequest
from .window import CONTROLLERS, Window

#: Period at which a waiting request is checked for an abandoned connection.
ABANDONED_POLL_MS = 100.0
#: Retry-after time of requests that are refused because no thread is free.
MIN_RETRY_MS = 100


class AdmissionConfig(NamedTuple):
    """Settings of admission; see ``conf.settings.AdmissionSettings``."""

    queues: ModelQueueConfig
    controller: str
    target_delay_ms: float
    initial_window_tokens: float
    output_token_cost: float
    max_caller_threads: int
    max_deferrable_threads: int


class LimitPort(NamedTuple):
    """Functions that enforce the client accounts' limits.

    Parameters
    ----------
    take : callable
        ``take(request, now_ms) -> LimitReached | None``; charges the estimated work
        unless a limit refuses the request.
    correct : callable
        ``correct(request, extra_tokens)``, once the actual work is known.
    """

    take: Callable[[AdmissionRequest, float], LimitReached | None]
    correct: Callable[[AdmissionRequest, float], None]


def no_limits() -> LimitPort:
    """Return limits that admit every request."""
    return LimitPort(lambda request, now_ms: None, lambda request, extra_tokens: None)


class Admission:
    """The queues of all models, guarded by one lock.

    Each caller's thread waits on its own condition, so that a release wakes exactly
    the threads whose turn it is. The number of callers' threads inside admission is
    bounded, so that the entry port always has threads left to send refusals.
    """

    def __init__(
        self,
        config: AdmissionConfig,
        policy_of: PolicyLookup,
        capacity_of: CapacityLookup,
        limits: LimitPort,
        now_ms: Callable[[], float],
    ) -> None:
        self._config = config
        self._policy_of = policy_of
        self._capacity_of = capacity_of
        self._limits = limits
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._queues: dict[str, ModelQueues] = {}
        self._cost = CostModel(config.output_token_cost)
        self._conditions: dict[int, threading.Condition] = {}
        self._waiting: dict[int, tuple[ModelQueues, AdmissionRequest]] = {}
        self._admitted: dict[int, tuple[Ticket, AdmissionRequest]] = {}
        self._n_callers = 0
        self._n_deferrable_callers = 0

    def admit(
        self, query: AdmissionQuery, is_abandoned: Callable[[], bool]
    ) -> Result[Ticket, AdmissionFailure | CallerGone]:
        """Wait for the request's turn; see :class:`.AdmissionPort`."""
        policy = self._policy_of(query)
        capacity = self._capacity_of(query.model)
        with self._lock:
            now_ms = self._now_ms()
            cost_tokens = self._cost.estimate(query)
            request = AdmissionRequest(query, policy, cost_tokens, now_ms)
            failure = self._limits.take(request, now_ms)
            if failure is not None:
                return Error(failure)
            failure = self._refuse_without_thread(request)
            if failure is not None:
                self._limits.correct(request, -cost_tokens)
                return Error(failure)
            if not capacity.n_engines:
                # There is nothing to wait for: dispatch reports the missing engine
                # to the caller at once. What runs nevertheless isn't admitted work, so
                # it isn't charged either.
                self._limits.correct(request, -cost_tokens)
                return Ok(Ticket(query, now_ms, 0.0))
            queues = self._queues_of(query.model, capacity)
            failure = queues.offer(request, now_ms)
            if failure is not None:
                self._limits.correct(request, -cost_tokens)
                return Error(failure)
            self._count_caller(request, 1)
            self._wake(queues.dispatch(now_ms))
        return self._wait(queues, request, is_abandoned)

    def note_first_token(
        self, ticket: Ticket, n_computed_tokens: int, ttft_ms: float
    ) -> None:
        """Update the window with a first token, and admit requests that now fit.

        This is called by the thread that relays streams, so it must not block for
        long.
        """
        with self._lock:
            held = self._admitted.get(id(ticket))
            queues = self._queues.get(ticket.query.model)
            if held is None or queues is None:
                return
            now_ms = self._now_ms()
            queues.note_first_token(held[1], n_computed_tokens, ttft_ms, now_ms)
            self._wake(queues.dispatch(now_ms))

    def release(
        self,
        ticket: Ticket,
        n_computed_tokens: int,
        n_output_tokens: int,
        has_first_token: bool,
    ) -> None:
        """Free the ticket's capacity and admit the requests whose turn it is now."""
        model = ticket.query.model
        capacity = self._capacity_of(model)
        with self._lock:
            held = self._admitted.pop(id(ticket), None)
            if held is None:
                return
            request = held[1]
            now_ms = self._now_ms()
            queues = self._queues_of(model, capacity)
            queues.release(
                request, n_computed_tokens, n_output_tokens, has_first_token, now_ms
            )
            done_tokens = self._cost.tokens(n_computed_tokens, n_output_tokens)
            self._limits.correct(request, done_tokens - request.cost_tokens)
            self._count_caller(request, -1)
            self._wake(queues.dispatch(now_ms))

    def refresh(self) -> None:
        """Update every model's capacity and admit requests that now fit.

        Called periodically, since engines come and go.
        """
        with self._lock:
            models = tuple(self._queues)
        capacities = {model: self._capacity_of(model) for model in models}
        with self._lock:
            for model, capacity in capacities.items():
                queues = self._queues[model]
                queues.set_capacity(capacity)
                self._wake(queues.dispatch(self._now_ms()))

    def waiting_tokens(self) -> dict[str, float]:
        """Return the queued work in tokens, by model."""
        with self._lock:
            return {
                model: queues.n_waiting_tokens for model, queues in self._queues.items()
            }

    def window_tokens(self) -> dict[str, float]:
        """Return the window in tokens per engine, by model."""
        with self._lock:
            items = self._queues.items()
            return {model: queues.window.tokens_per_engine for model, queues in items}

    def _wait(
        self,
        queues: ModelQueues,
        request: AdmissionRequest,
        is_abandoned: Callable[[], bool],
    ) -> Result[Ticket, AdmissionFailure | CallerGone]:
        with self._lock:
            condition = threading.Condition(self._lock)
            self._conditions[id(request)] = condition
            self._waiting[id(request)] = queues, request
        try:
            while not self._is_settled(queues, request, condition):
                # Checking the connection is a system call, so it is done outside the
                # lock.
                if is_abandoned():
                    self._abandon(queues, request)
        except BaseException:
            self._release_after_error(queues, request)
            raise
        finally:
            with self._lock:
                del self._conditions[id(request)]
                del self._waiting[id(request)]
        return self._outcome(request)

    def _is_settled(
        self,
        queues: ModelQueues,
        request: AdmissionRequest,
        condition: threading.Condition,
    ) -> bool:
        with self._lock:
            remaining_ms = request.query.deadline_at_ms - self._now_ms()
            if request.state == "waiting" and remaining_ms > 0.0:
                condition.wait(min(ABANDONED_POLL_MS, remaining_ms) / 1000.0)
            if request.state != "waiting":
                return True
            if request.query.deadline_at_ms > self._now_ms():
                return False
            queues.expire(request, self._now_ms())
            self._leave(queues, request)
            return True

    def _abandon(self, queues: ModelQueues, request: AdmissionRequest) -> None:
        with self._lock:
            if request.state != "waiting":
                return
            queues.withdraw(request, self._now_ms())
            self._leave(queues, request)

    def _release_after_error(
        self, queues: ModelQueues, request: AdmissionRequest
    ) -> None:
        """Free what a request holds after its wait ended with an exception."""
        self._abandon(queues, request)
        with self._lock:
            if request.state != "admitted":
                return
            queues.release(request, 0, 0, None, self._now_ms())
            self._leave(queues, request)

    def _leave(self, queues: ModelQueues, request: AdmissionRequest) -> None:
        self._count_caller(request, -1)
        self._limits.correct(request, -request.cost_tokens)
        self._wake(queues.dispatch(self._now_ms()))

    def _outcome(
        self, request: AdmissionRequest
    ) -> Result[Ticket, AdmissionFailure | CallerGone]:
        if request.state == "refused":
            return Error(request.failure)
        if request.state == "gone":
            return Error(CallerGone(0))
        waited_ms = request.admitted_at_ms - request.arrived_at_ms
        ticket = Ticket(request.query, request.admitted_at_ms, waited_ms)
        with self._lock:
            self._admitted[id(ticket)] = (ticket, request)
        return Ok(ticket)

    def _refuse_without_thread(self, request: AdmissionRequest) -> QueueFull | None:
        if request.query.is_deferred:
            return None
        max_deferrable = self._config.max_deferrable_threads
        is_deferrable = request.policy.is_deferrable
        is_deferrable_over = (
            is_deferrable and self._n_deferrable_callers >= max_deferrable
        )
        is_over = (
            is_deferrable_over or self._n_callers >= self._config.max_caller_threads
        )
        if not is_over or self._displace(request, is_deferrable_over):
            return None
        return QueueFull(request.query.rank, MIN_RETRY_MS)

    def _displace(
        self, new_request: AdmissionRequest, is_only_deferrable: bool
    ) -> bool:
        """Refuse a waiting request to free its thread; return whether one was."""
        callers = (
            request
            for _, request in self._waiting.values()
            if not request.query.is_deferred
            and (request.policy.is_deferrable or not is_only_deferrable)
        )
        request = find_displaced(callers, new_request)
        if request is None:
            return False
        queues = self._waiting[id(request)][0]
        queues.withdraw(request, self._now_ms())
        request.state = "refused"
        request.failure = QueueFull(request.query.rank, MIN_RETRY_MS)
        self._leave(queues, request)
        self._conditions[id(request)].notify()
        return True

    def _count_caller(self, request: AdmissionRequest, n: int) -> None:
        if request.query.is_deferred:
            return
        self._n_callers += n
        if request.policy.is_deferrable:
            self._n_deferrable_callers += n

    def _queues_of(self, model: str, capacity: ModelCapacity) -> ModelQueues:
        queues = self._queues.get(model)
        if queues is None:
            controller = CONTROLLERS[self._config.controller]
            # The settings state the window of the whole fleet, which the instances
            # divide evenly.
            n_tokens = self._config.initial_window_tokens / capacity.n_instances
            target_ms = self._config.target_delay_ms
            urgent, deferrable = (
                Window(controller(target_ms), n_tokens) for _ in range(2)
            )
            queues = ModelQueues(self._config.queues, self._cost, urgent, deferrable)
            self._queues[model] = queues
        queues.set_capacity(capacity)
        return queues

    def _wake(self, admitted: list[AdmissionRequest]) -> None:
        for request in admitted:
            condition = self._conditions.get(id(request))
            if condition is not None:
                condition.notify()


def open_admission(admission: Admission) -> AdmissionPort:
    """Return ``admission`` as an :class:`.AdmissionPort`."""
    return AdmissionPort(admission.admit, admission.release, admission.note_first_token)
