"""The blocking front of admission: callers' threads wait here for their turn."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Ok, Result

from ..errors import CallerGone
from .cost import CostModel
from .crowding import find_displaced
from .entry import Entry
from .errors import AdmissionFailure, LimitReached, QueueFull
from .gate import Gate, GateRules
from .policy import CapacityLookup, PolicyLookup
from .port import AdmissionPort, AdmissionQuery, Ticket
from .window import CONTROLLERS, Window

#: A waiting caller is asked this often whether it is still there.
ABANDONED_POLL_MS = 100.0
MIN_RETRY_MS = 100


class AdmissionRules(NamedTuple):
    """Settings of admission; see ``conf.settings.AdmissionSettings``."""

    gate: GateRules
    controller: str
    target_delay_ms: float
    initial_window_tokens: float
    output_token_cost: float
    max_caller_threads: int
    max_deferrable_threads: int


class LimitPort(NamedTuple):
    """Functions of the client accounts' limits.

    Parameters
    ----------
    take : callable
        ``take(entry, now_ms) -> LimitReached | None``.
    correct : callable
        ``correct(entry, extra_tokens)``, once the real work is known.
    """

    take: Callable[[Entry, float], LimitReached | None]
    correct: Callable[[Entry, float], None]


def no_limits() -> LimitPort:
    """Return limits that let everything in."""
    return LimitPort(lambda entry, now_ms: None, lambda entry, extra_tokens: None)


class Admission:
    """The gates of all models behind one lock.

    A caller's own thread waits on a condition of its own, so that a release wakes
    exactly the threads whose turn it is. The number of callers' threads in here is
    bounded, so that the entry port always has threads left to refuse with.
    """

    def __init__(
        self,
        rules: AdmissionRules,
        policy_of: PolicyLookup,
        capacity_of: CapacityLookup,
        limits: LimitPort,
        now_ms: Callable[[], float],
    ) -> None:
        self._rules = rules
        self._policy_of = policy_of
        self._capacity_of = capacity_of
        self._limits = limits
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._gates: dict[str, Gate] = {}
        self._cost = CostModel(rules.output_token_cost)
        self._wakers: dict[int, threading.Condition] = {}
        self._waiting: dict[int, tuple[Gate, Entry]] = {}
        self._admitted: dict[int, tuple[Ticket, Entry]] = {}
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
            entry = Entry(query, policy, cost_tokens, now_ms)
            failure = self._limits.take(entry, now_ms)
            if failure is not None:
                return Error(failure)
            failure = self._thread_refusal(entry)
            if failure is not None:
                self._limits.correct(entry, -cost_tokens)
                return Error(failure)
            if not capacity.n_engines:
                # Nothing to wait for: dispatch tells the caller so at once.
                return Ok(Ticket(query, now_ms, 0.0))
            gate = self._gate(query.model)
            gate.set_capacity(capacity)
            failure = gate.offer(entry, now_ms)
            if failure is not None:
                self._limits.correct(entry, -cost_tokens)
                return Error(failure)
            self._count_caller(entry, 1)
            self._wake(gate.dispatch(now_ms))
        return self._wait(gate, entry, is_abandoned)

    def release(
        self,
        ticket: Ticket,
        n_computed_tokens: int,
        n_output_tokens: int,
        ttft_ms: float | None,
    ) -> None:
        """Free the ticket's place and admit those whose turn it is now."""
        model = ticket.query.model
        capacity = self._capacity_of(model)
        with self._lock:
            held = self._admitted.pop(id(ticket), None)
            if held is None:
                return
            entry = held[1]
            now_ms = self._now_ms()
            gate = self._gate(model)
            gate.set_capacity(capacity)
            gate.release(entry, n_computed_tokens, n_output_tokens, ttft_ms, now_ms)
            done_tokens = self._cost.tokens(n_computed_tokens, n_output_tokens)
            self._limits.correct(entry, done_tokens - entry.cost_tokens)
            self._count_caller(entry, -1)
            self._wake(gate.dispatch(now_ms))

    def refresh(self) -> None:
        """Look again for places, after engines came or went."""
        with self._lock:
            models = tuple(self._gates)
        capacities = {model: self._capacity_of(model) for model in models}
        with self._lock:
            for model, capacity in capacities.items():
                gate = self._gates[model]
                gate.set_capacity(capacity)
                self._wake(gate.dispatch(self._now_ms()))

    def waiting_tokens(self) -> dict[str, float]:
        """Return the work that waits, by model."""
        with self._lock:
            return {model: gate.n_waiting_tokens for model, gate in self._gates.items()}

    def window_tokens(self) -> dict[str, float]:
        """Return the window of one engine, by model."""
        with self._lock:
            gates = self._gates.items()
            return {model: gate.window.tokens_per_engine for model, gate in gates}

    def _wait(
        self, gate: Gate, entry: Entry, is_abandoned: Callable[[], bool]
    ) -> Result[Ticket, AdmissionFailure | CallerGone]:
        with self._lock:
            waker = threading.Condition(self._lock)
            self._wakers[id(entry)] = waker
            self._waiting[id(entry)] = gate, entry
        try:
            while not self._is_settled(gate, entry, waker):
                # The caller is asked outside the lock, since that is a system call.
                if is_abandoned():
                    self._abandon(gate, entry)
        except BaseException:
            self._give_back(gate, entry)
            raise
        finally:
            with self._lock:
                del self._wakers[id(entry)]
                del self._waiting[id(entry)]
        return self._outcome(entry)

    def _is_settled(self, gate: Gate, entry: Entry, waker: threading.Condition) -> bool:
        with self._lock:
            remaining_ms = entry.query.deadline_at_ms - self._now_ms()
            if entry.state == "waiting" and remaining_ms > 0.0:
                waker.wait(min(ABANDONED_POLL_MS, remaining_ms) / 1000.0)
            if entry.state != "waiting":
                return True
            if entry.query.deadline_at_ms > self._now_ms():
                return False
            gate.give_up(entry, self._now_ms())
            self._leave(gate, entry)
            return True

    def _abandon(self, gate: Gate, entry: Entry) -> None:
        with self._lock:
            if entry.state != "waiting":
                return
            gate.withdraw(entry, self._now_ms())
            self._leave(gate, entry)

    def _give_back(self, gate: Gate, entry: Entry) -> None:
        """Free what a request holds whose wait ended with an exception."""
        self._abandon(gate, entry)
        with self._lock:
            if entry.state != "admitted":
                return
            gate.release(entry, 0, 0, None, self._now_ms())
            self._leave(gate, entry)

    def _leave(self, gate: Gate, entry: Entry) -> None:
        self._count_caller(entry, -1)
        self._limits.correct(entry, -entry.cost_tokens)
        self._wake(gate.dispatch(self._now_ms()))

    def _outcome(self, entry: Entry) -> Result[Ticket, AdmissionFailure | CallerGone]:
        if entry.state == "refused":
            return Error(entry.failure)
        if entry.state == "gone":
            return Error(CallerGone(0))
        waited_ms = entry.admitted_at_ms - entry.arrived_at_ms
        ticket = Ticket(entry.query, entry.admitted_at_ms, waited_ms)
        with self._lock:
            self._admitted[id(ticket)] = (ticket, entry)
        return Ok(ticket)

    def _thread_refusal(self, entry: Entry) -> QueueFull | None:
        if entry.query.is_deferred:
            return None
        bound = self._rules.max_deferrable_threads
        is_deferrable = entry.policy.is_deferrable
        is_kind_over = is_deferrable and self._n_deferrable_callers >= bound
        is_over = is_kind_over or self._n_callers >= self._rules.max_caller_threads
        if not is_over or self._displace(entry, is_kind_over):
            return None
        return QueueFull(entry.query.rank, MIN_RETRY_MS)

    def _displace(self, newcomer: Entry, is_only_deferrable: bool) -> bool:
        """Refuse a waiting request of an account that crowds others out."""
        callers = (
            entry
            for _, entry in self._waiting.values()
            if not entry.query.is_deferred
            and (entry.policy.is_deferrable or not is_only_deferrable)
        )
        entry = find_displaced(callers, newcomer)
        if entry is None:
            return False
        gate = self._waiting[id(entry)][0]
        gate.withdraw(entry, self._now_ms())
        entry.state = "refused"
        entry.failure = QueueFull(entry.query.rank, MIN_RETRY_MS)
        self._leave(gate, entry)
        self._wakers[id(entry)].notify()
        return True

    def _count_caller(self, entry: Entry, n: int) -> None:
        if entry.query.is_deferred:
            return
        self._n_callers += n
        if entry.policy.is_deferrable:
            self._n_deferrable_callers += n

    def _gate(self, model: str) -> Gate:
        gate = self._gates.get(model)
        if gate is None:
            controller = CONTROLLERS[self._rules.controller]
            window = Window(
                controller(self._rules.target_delay_ms),
                self._rules.initial_window_tokens,
            )
            gate = Gate(self._rules.gate, self._cost, window)
            self._gates[model] = gate
        return gate

    def _wake(self, admitted: list[Entry]) -> None:
        for entry in admitted:
            waker = self._wakers.get(id(entry))
            if waker is not None:
                waker.notify()


def open_admission(admission: Admission) -> AdmissionPort:
    """Return the port to ``admission``."""
    return AdmissionPort(admission.admit, admission.release)
