"""A small fake fleet whose instances exchange counters of charges directly."""

import heapq
import itertools
import random
from typing import NamedTuple

from buckthornrock.admission.fleet_quota import FleetQuota
from buckthornrock.admission.quota_counters import Stream
from buckthornrock.admission.quota_limits import AccountLimit, QuotaBound

PERIOD_MS = 60.0
LATENCY_MS = 1.0
#: Numbers of the accounts.
LIMITED, OTHER = 1, 2
BOUND = QuotaBound(8_000.0, 0.1, 190_000.0)
GROUP = 1


class Decision(NamedTuple):
    """What was decided on one request."""

    at_ms: float
    account: int
    cost: int
    is_admitted: bool
    retry_after_ms: float


class Instance:
    """One instance; ``incarnation`` counts its starts."""

    def __init__(self, fleet, number):
        self.number = number
        self.incarnation = 0
        self._fleet = fleet
        self.start()

    def start(self):
        self.incarnation += 1
        self.is_running = True
        self.n_sent = 0
        self.newest = {}
        now_ms = self._fleet.now_ms
        # Each instance's monotonic clock starts anywhere.
        self.clock_offset_ms = self._fleet.rng.uniform(0.0, 1e7)
        # In a fleet this small, the settings name every instance.
        self.quota = FleetQuota(BOUND, self._fleet.n_instances, self.clock_ms())
        self.quota.replace_limits(self._fleet.limits, self.clock_ms())
        self._fleet.at(
            now_ms + self._fleet.rng.uniform(0.0, PERIOD_MS),
            self._send,
            self.incarnation,
        )

    def clock_ms(self):
        return self._fleet.now_ms + self.clock_offset_ms

    def _send(self, incarnation):
        if incarnation != self.incarnation or not self.is_running:
            return
        if not self._fleet.is_paused(self):
            self._report()
        self._fleet.at(self._fleet.now_ms + PERIOD_MS, self._send, incarnation)

    def _report(self):
        fleet = self._fleet
        sources = {str(number) for number in self.newest}
        # It knows those that it heard since its start, silent or not.
        n_known = 1 + len(self.newest)
        self.quota.on_period(n_known, PERIOD_MS, sources, self.clock_ms())
        report = self.quota.group_report((), self.clock_ms())
        self.n_sent += 1
        for peer in fleet.instances:
            if peer is not self:
                fleet.deliver(self, peer, (self.incarnation, self.n_sent), report)

    def receive(self, sender, order, report):
        if order <= self.newest.get(sender, (0, 0)):
            return
        self.newest[sender] = order
        stream = Stream(order[0], GROUP)
        self.quota.on_report(str(sender), stream, report, False, self.clock_ms())


class Fleet:
    """Instances, the network between them and their clock.

    ``delay_ms(sender, receiver)`` returns how late a digest arrives, None if it is
    lost. An instance that is paused neither sends, receives nor decides.
    """

    def __init__(self, n_instances, limits, seed=1):
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.n_instances = n_instances
        self.limits = limits
        self.delay_ms = lambda sender, receiver: LATENCY_MS
        self.is_paused = lambda instance: False
        self.decisions: list[Decision] = []
        self._order = itertools.count()
        self._due = []
        self.instances = []
        self.instances += [Instance(self, number) for number in range(n_instances)]

    def at(self, at_ms, call, *arguments):
        heapq.heappush(self._due, (at_ms, next(self._order), call, arguments))

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self._due and self._due[0][0] <= end_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._due)
            call(*arguments)
        self.now_ms = end_ms

    def deliver(self, sender, receiver, order, report):
        delay_ms = self.delay_ms(sender, receiver)
        if delay_ms is not None:
            self.at(
                self.now_ms + delay_ms, self._arrive, sender.number, receiver, order,
                report, receiver.incarnation,
            )  # fmt: skip

    def _arrive(self, sender, receiver, order, report, incarnation):
        if receiver.incarnation != incarnation or not receiver.is_running:
            return
        if self.is_paused(receiver):
            # Datagrams wait in the socket until the process runs again.
            self.at(
                self.now_ms + 20.0, self._arrive, sender, receiver, order, report,
                incarnation,
            )  # fmt: skip
            return
        receiver.receive(sender, order, report)

    def ask(self, instance, account, cost):
        """Let an instance decide on a request now."""
        if not instance.is_running or self.is_paused(instance):
            return
        decision = instance.quota.charge(account, cost, instance.clock_ms())
        retry_after_ms = decision.error if decision.is_error() else 0.0
        self.decisions.append(
            Decision(self.now_ms, account, cost, decision.is_ok(), retry_after_ms)
        )

    def arrivals(self, account, rate_per_s, costs, duration_ms, weights=None):
        """Schedule random arrivals of ``rate_per_s`` for some time from now on."""
        mean = sum(costs) / len(costs)
        at_ms, end_ms = self.now_ms, self.now_ms + duration_ms
        while rate_per_s:
            at_ms += self.rng.expovariate(rate_per_s / mean / 1_000.0)
            if at_ms >= end_ms:
                return
            (instance,) = self.rng.choices(self.instances, weights)
            self.at(at_ms, self.ask, instance, account, self.rng.choice(costs))


def largest_window(decisions, account, window_ms=BOUND.window_ms):
    """Return the most that was admitted of an account in any window."""
    admitted = [d for d in decisions if d.is_admitted and d.account == account]
    largest = total = first = 0
    for decision in admitted:
        total += decision.cost
        while admitted[first].at_ms < decision.at_ms - window_ms:
            total -= admitted[first].cost
            first += 1
        largest = max(largest, total)
    return largest


def allowed_in_window(limit: AccountLimit):
    """Return the bound on what an account may run in any window."""
    earned = limit.rate_per_s * BOUND.window_ms / 1_000.0
    return (earned + limit.burst) * (1.0 + BOUND.overage) + BOUND.slack


def within_bucket(decisions, account, limit: AccountLimit, level):
    """Return what one token bucket would admit of the same requests."""
    total, at_ms = 0, None
    for decision in decisions:
        if decision.account != account:
            continue
        passed_ms = 0.0 if at_ms is None else decision.at_ms - at_ms
        at_ms = decision.at_ms
        level = min(limit.burst, level + limit.rate_per_s * passed_ms / 1_000.0)
        if decision.cost <= level:
            level -= decision.cost
            total += decision.cost
    return total


def admitted_cost(decisions, account):
    return sum(d.cost for d in decisions if d.is_admitted and d.account == account)
