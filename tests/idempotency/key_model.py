"""Models of instances that race for one key, one step at a time, with faults between.

The models drive the real state machines (:class:`KeyedCall`, :class:`OutcomeQueue`,
:class:`IssuedKeyTable`). They check after every step that the upstream ran the call at
most once, and that no result reported "not run" for a call that had run.
"""

import random

from expression import Error, Ok

from buckthornrock.dispatch.errors import CallOutcomeUnknown, NoServer
from buckthornrock.errors import DeadlineExceeded
from buckthornrock.idempotency.group_commit import commit_together
from buckthornrock.idempotency.issued_keys import (
    IssuedKeyClaims,
    IssuedKeyTable,
    Run,
    Settled,
)
from buckthornrock.idempotency.keyed_call import (
    CLAIM_VALIDITY_MS,
    CommitClaim,
    Finish,
    KeyedCall,
    MakeAttempt,
)
from buckthornrock.idempotency.outcome_queue import OutcomeQueue, transaction_of
from buckthornrock.idempotency.records import ClaimRecord
from buckthornrock.idempotency.retention import RetentionLease
from buckthornrock.upstreams.service_client import ServiceResponse
from tests.idempotency.fakes import FakeKv

KEY = "idempotency/key"
RETENTION_S = 86_400
CALL_MS = 30_000.0
COMMIT_FAULTS = ("", "down", "lost", "late", "copied")
#: "paused" returns the outcome of a commit only after the retention is over.
STEP_FAULTS = (*COMMIT_FAULTS, "paused")
PAUSE_MS = 26 * 3_600_000.0
LONG_CALL_MS = 7 * 86_400_000.0
ATTEMPTS = ("answered", "lost", "not_sent", "cut_before")


class Instance:
    """One incarnation of an instance."""

    def __init__(self, name, incarnation, kv):
        self.name = name
        self.incarnation = incarnation
        self.retention = RetentionLease(kv.port().grant_lease, RETENTION_S)
        self.queue = OutcomeQueue(random.Random(1))
        self.calls = []


class Call:
    """A call with its next step."""

    def __init__(self, keyed, step):
        self.keyed = keyed
        self.step = step


class ClaimModel:
    """Two or three instances, one idempotency key and one upstream."""

    def __init__(self, n_instances):
        self.kv = FakeKv()
        self.now_ms = 0.0
        self.n_runs = 0
        self.n_claims = 0
        self.results = []
        self.problems = []
        self.lease_ends_ms = {}
        self.instances = [Instance(f"i{n}", 0, self.kv) for n in range(n_instances)]

    def is_live(self, instance_id, incarnation):
        """Return whether the incarnation is alive; here the view is always exact."""
        return any(
            (i.name, str(i.incarnation)) == (instance_id, incarnation)
            for i in self.instances
        )

    def start_call(self, index, body=b"one"):
        """Start a call at an instance."""
        instance = self.instances[index % len(self.instances)]
        lease = instance.retention.current(self.now_ms)
        if lease.is_error():
            return
        ends_ms = self.now_ms + (RETENTION_S + 3_600) * 1000.0
        self.lease_ends_ms.setdefault(lease.ok, ends_ms)
        self.n_claims += 1
        claim = ClaimRecord(
            fingerprint=body,
            claim_id=str(self.n_claims),
            instance_id=instance.name,
            incarnation=str(instance.incarnation),
            state="claimed",
        )
        keyed = KeyedCall(
            KEY,
            claim,
            lease.ok,
            self.now_ms + (CALL_MS if self.n_claims % 3 else LONG_CALL_MS),
            1_000,
            self.is_live,
            random.Random(self.n_claims),
        )
        instance.calls.append(Call(keyed, keyed.start(self.now_ms)))

    def advance(self, index, call_index, fault, attempt):
        """Carry out the next step of one call."""
        instance = self.instances[index % len(self.instances)]
        if not instance.calls:
            return
        call = instance.calls[call_index % len(instance.calls)]
        call.step = self._carry_out(call, fault, attempt)
        if isinstance(call.step, Finish):
            instance.calls.remove(call)
            self._finish(instance, call.step)

    def _carry_out(self, call, fault, attempt):
        self.kv.fault = "" if fault == "paused" else fault
        try:
            if isinstance(call.step, CommitClaim):
                outcome = self.kv.commit(call.step.transaction)
                if fault == "paused":
                    self.wait(PAUSE_MS)
                return call.keyed.on_commit(outcome, self.now_ms)
            if isinstance(call.step, MakeAttempt):
                return call.keyed.on_attempt(self._attempt(attempt), self.now_ms)
            self.now_ms += call.step.duration_ms
            return call.keyed.on_read(self.kv.get(KEY), self.now_ms)
        finally:
            self.kv.fault = ""

    def _attempt(self, attempt):
        if attempt == "not_sent":
            return Error(NoServer("orders"))
        if attempt == "cut_before":
            return Error(CallOutcomeUnknown("u", "ConnectionResetError"))
        self.n_runs += 1
        if self.n_runs > 1:
            self.problems.append(f"run {self.n_runs}")
        if attempt == "lost":
            return Error(CallOutcomeUnknown("u", "ReadTimeoutError"))
        return Ok(ServiceResponse(200, (), b"run %d" % self.n_runs))

    def _finish(self, instance, finish):
        self.results.append(finish.result)
        if finish.settlement is not None:
            instance.queue.add(finish.settlement, self.now_ms)
        if finish.result.is_ok() and finish.result.ok.body != b"run 1":
            self.problems.append(f"response {finish.result.ok.body}")
        not_run = (
            getattr(finish.result.error, "not_run", "")
            if (finish.result.is_error())
            else ""
        )
        if not_run == "true" and self.n_runs:
            self.problems.append("reported as not run, but it ran")

    def record(self, index, fault):
        """Record one due outcome of an instance."""
        instance = self.instances[index % len(self.instances)]
        self.kv.fault = fault
        due = instance.queue.due_settlements(self.now_ms, 8)[:1]
        outcomes = commit_together(self.kv.commit, [transaction_of(s) for s in due])
        for settlement, outcome in zip(due, outcomes, strict=True):
            instance.queue.on_commit(settlement, outcome, self.now_ms)
        self.kv.fault = ""

    def crash(self, index):
        """Restart an instance; its calls and unrecorded outcomes are lost."""
        index %= len(self.instances)
        old = self.instances[index]
        self.instances[index] = Instance(old.name, old.incarnation + 1, self.kv)

    def deliver(self):
        """Apply the delayed writes."""
        self.kv.deliver()

    def wait(self, duration_ms):
        """Let time pass; expired leases remove their keys."""
        self.now_ms += duration_ms
        for lease_id, ends_ms in list(self.lease_ends_ms.items()):
            if ends_ms <= self.now_ms:
                self.kv.revoke(lease_id)
                del self.lease_ends_ms[lease_id]
                self._reset_after_retention()

    def _reset_after_retention(self):
        # After the retention the key may run again, but a call that was claimed
        # before must not run.
        self.n_runs = 0
        for instance in self.instances:
            for call in instance.calls:
                if isinstance(call.step, MakeAttempt):
                    instance.calls.remove(call)
                    break

    def step_at_random(self, rng):
        """Take one step drawn from ``rng``."""
        index, call_index = rng.randrange(3), rng.randrange(4)
        kind = rng.choices(
            ("start", "advance", "record", "crash", "deliver", "wait"),
            (2, 10, 3, 0.7, 1, 1),
        )[0]
        if kind == "start":
            self.start_call(index)
        elif kind == "advance":
            fault = rng.choice(STEP_FAULTS) if rng.random() < 0.4 else ""
            self.advance(index, call_index, fault, rng.choice(ATTEMPTS))
        elif kind == "record":
            self.record(index, rng.choice(COMMIT_FAULTS))
        elif kind == "crash":
            self.crash(index)
        elif kind == "deliver":
            self.deliver()
        else:
            self.wait(rng.choice((10.0, 1_000.0, 20_000.0, CLAIM_VALIDITY_MS)))


class IssuedModel:
    """An issuer and callers at other instances; messages may be lost or duplicated."""

    def __init__(self):
        self.now_ms = 0.0
        self.incarnation = 0
        self.claims = IssuedKeyClaims("i0", "0", b"nonce", 0)
        self.table = IssuedKeyTable(600_000, 4)
        self.in_flight = []
        self.running = []
        self.n_runs = 0
        self.n_requests = 0
        self.reported_not_run = set()
        self.problems = []

    def send_request(self):
        """Send a new request to the issuer."""
        self.n_requests += 1
        self.in_flight.append(f"r{self.n_requests}")

    def deliver(self, index, is_repeated):
        """Deliver one request; if ``is_repeated``, a duplicate may arrive later."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        request_id = self.in_flight[index]
        if not is_repeated:
            del self.in_flight[index]
        if self.claims.incarnation != str(self.incarnation):
            return
        begun = self.table.begin(self.claims, b"mark", request_id, self.now_ms)
        if begun.is_error():
            return
        if isinstance(begun.ok, Run):
            self.running.append(request_id)
        if isinstance(begun.ok, Settled):
            not_run = getattr(begun.ok.outcome, "not_run", "")
            if not_run == "true":
                self.reported_not_run.add(request_id)

    def finish(self, index, attempt):
        """End one running call."""
        if not self.running:
            return
        request_id = self.running.pop(index % len(self.running))
        if attempt == "not_sent":
            self.reported_not_run.add(request_id)
            self.table.release(b"nonce", DeadlineExceeded(0, "true"))
            return
        self.n_runs += 1
        if self.n_runs > 1:
            self.problems.append(f"run {self.n_runs}")
        if request_id in self.reported_not_run:
            self.problems.append("reported as not run, then it ran")
        self.table.settle(b"nonce", attempt)

    def crash(self):
        """Restart the issuer; calls in progress count as runs: they may be sent."""
        self.incarnation += 1
        self.n_runs += len(self.running)
        self.running = []
        self.table = IssuedKeyTable(600_000, 4)
        if self.n_runs > 1:
            self.problems.append("two runs at a crash")

    def wait(self, duration_ms):
        """Advance the clock."""
        self.now_ms += duration_ms

    def step_at_random(self, rng):
        """Take one step drawn from ``rng``."""
        kind = rng.choices(
            ("send_request", "deliver", "finish", "crash", "wait"), (3, 6, 4, 0.3, 1)
        )[0]
        if kind == "send_request":
            self.send_request()
        elif kind == "deliver":
            self.deliver(rng.randrange(8), rng.random() < 0.3)
        elif kind == "finish":
            self.finish(rng.randrange(4), rng.choice(ATTEMPTS))
        elif kind == "crash":
            self.crash()
        else:
            self.wait(rng.choice((1_000.0, 300_000.0)))
