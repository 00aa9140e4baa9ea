"""Runs calls with callers' idempotency keys, claimed in the key-value service.

An instance claims a key before it sends the call, and records the outcome afterwards.
"""

import os
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from expression import Error, Result

from ..conf.settings import IdempotencySettings
from ..errors import Failure
from ..events import idempotency as events
from ..runtime import Clock
from ..store import CommitNotDone, CommitOutcome, CommitUnknown, KvPort
from ..store.kv_port import LEASE_GONE
from ..telemetry import Telemetry
from ..telemetry.metrics import KEYED_CALLS, OUTCOMES_PENDING
from ..upstreams.service_client import ServiceResponse
from .errors import (
    CallInProgress,
    KeyedOutcomeUnknown,
    KeyReused,
    KeyStoreUnavailable,
)
from .group_commit import MAX_BATCH, GroupCommitter, commit_together
from .keyed_call import (
    RETRY_AFTER_MS,
    CommitClaim,
    Finish,
    KeyedCall,
    MakeAttempt,
    Step,
    Wait,
    replay,
)
from .outcome_queue import OutcomeQueue, transaction_of
from .port import Attempt, KeyedRequest
from .records import ClaimRecord, decode, fingerprint, storage_key
from .retention import RetentionLease

MAX_PENDING_OUTCOMES = 10_000
#: Time limit for the commit of a claim. It is longer than the key-value client needs
#: to find out the outcome of a commit whose response was lost.
CLAIM_TIMEOUT_MS = 1_500.0
#: How long a stopping instance tries to record the pending outcomes.
FLUSH_TIMEOUT_MS = 2_000.0
FLUSH_RETRY_MS = 50.0


class Identity(NamedTuple):
    """The instance and the incarnation that claims name as their owner."""

    instance_id: str
    incarnation: str


class _RunningCall:
    """A call in progress at this instance; requests with the same key wait for it."""

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.is_done = threading.Event()
        self.result: Result[ServiceResponse, Failure] = Error(
            KeyedOutcomeUnknown("Lost")
        )


class ClaimedCalls:
    """Keyed calls of this instance, and the outcomes that it has not recorded yet.

    Parameters
    ----------
    kv : KvPort
        Stores claims and outcomes.
    identity : Identity
        Owner of the claims made here.
    is_live : callable
        ``is_live(instance_id, incarnation)`` returns whether that incarnation is a
        live member.
    secret : bytes
        Key of the keyed digests under which idempotency keys are stored.
    """

    def __init__(
        self,
        kv: KvPort,
        identity: Identity,
        is_live: Callable[[str, str], bool],
        secret: bytes,
        settings: IdempotencySettings,
        telemetry: Telemetry,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._kv = kv
        self._identity = identity
        self._is_live = is_live
        self._secret = secret
        self._settings = settings
        self._telemetry = telemetry
        self._clock = clock
        self._rng = rng
        self._retention = RetentionLease(kv.grant_lease, settings.retention_s)
        self._committer = GroupCommitter(
            lambda transaction: kv.commit(transaction, limit_ms=CLAIM_TIMEOUT_MS)
        )
        self._lock = threading.Lock()
        self._running_calls: dict[str, _RunningCall] = {}
        self._outcomes = OutcomeQueue(rng)
        self._key_of_claim: dict[str, str] = {}
        self._wake: Callable[[], None] = lambda: None

    def run(
        self, request: KeyedRequest, attempt: Attempt
    ) -> Result[ServiceResponse, Failure]:
        """Run the call unless its key has an outcome already; return the outcome."""
        key = storage_key(request, self._secret)
        call_fingerprint = fingerprint(request)
        with self._lock:
            running = self._running_calls.get(key)
            is_first = running is None
            if is_first and len(self._outcomes) >= MAX_PENDING_OUTCOMES:
                return Error(KeyStoreUnavailable("TooManyPending", RETRY_AFTER_MS))
            if is_first:
                running = _RunningCall(call_fingerprint)
                self._running_calls[key] = running
        if is_first:
            return self._run_first(key, call_fingerprint, running, request, attempt)
        return self._wait_for_result(running, call_fingerprint, request)

    def set_wake_callback(self, wake: Callable[[], None]) -> None:
        """Set the function that is called whenever an outcome is to be recorded."""
        self._wake = wake

    def record_outcomes(self) -> None:
        """Record the outcomes that are due; called periodically by one thread."""
        while self._commit_outcomes():
            pass
        with self._lock:
            n_pending = len(self._outcomes)
        self._telemetry.metrics.gauge(OUTCOMES_PENDING, n_pending)

    def flush(self) -> None:
        """Record the pending outcomes before the instance stops."""
        deadline_at_ms = self._clock.now_ms() + FLUSH_TIMEOUT_MS
        while self.n_pending() and self._clock.now_ms() < deadline_at_ms:
            self.record_outcomes()
            if self.n_pending():
                self._clock.sleep_ms(FLUSH_RETRY_MS)

    def n_pending(self) -> int:
        """Return how many outcomes are not recorded yet."""
        with self._lock:
            return len(self._outcomes)

    def _wait_for_result(
        self, running: _RunningCall, call_fingerprint: bytes, request: KeyedRequest
    ) -> Result[ServiceResponse, Failure]:
        if running.fingerprint != call_fingerprint:
            return Error(KeyReused())
        remaining_ms = max(0.0, request.deadline_at_ms - self._clock.now_ms())
        if not running.is_done.wait(remaining_ms / 1000.0):
            return Error(CallInProgress(RETRY_AFTER_MS))
        return running.result

    def _run_first(
        self,
        key: str,
        call_fingerprint: bytes,
        running: _RunningCall,
        request: KeyedRequest,
        attempt: Attempt,
    ) -> Result[ServiceResponse, Failure]:
        finish = Finish(Error(KeyedOutcomeUnknown("InternalError")))
        try:
            finish = self._run_steps(key, call_fingerprint, request, attempt)
        finally:
            self._finish(key, running, finish)
        self._count(request, finish)
        return finish.result

    def _run_steps(
        self, key: str, call_fingerprint: bytes, request: KeyedRequest, attempt: Attempt
    ) -> Finish:
        lease = self._retention.current(self._clock.now_ms())
        if lease.is_error():
            failure = KeyStoreUnavailable(lease.error.reason, RETRY_AFTER_MS)
            return Finish(Error(failure))
        call = self._keyed_call(key, call_fingerprint, lease.ok, request)
        step = call.start(self._clock.now_ms())
        while not isinstance(step, Finish):
            step = self._execute_step(call, key, step, attempt)
        return step

    def _keyed_call(
        self, key: str, call_fingerprint: bytes, lease_id: int, request: KeyedRequest
    ) -> KeyedCall:
        claim = ClaimRecord(
            fingerprint=call_fingerprint,
            claim_id=os.urandom(8).hex(),
            instance_id=self._identity.instance_id,
            incarnation=self._identity.incarnation,
            state="claimed",
        )
        return KeyedCall(
            key,
            claim,
            lease_id,
            request.deadline_at_ms,
            self._settings.max_outcome_bytes,
            self._is_live,
            self._rng,
        )

    def _execute_step(
        self, call: KeyedCall, key: str, step: Step, attempt: Attempt
    ) -> Step:
        match step:
            case CommitClaim(transaction):
                outcome = self._committer.commit(transaction)
                self._check_lease(outcome)
                return call.on_commit(outcome, self._clock.now_ms())
            case MakeAttempt():
                result = _attempt_or_unknown(attempt)
                return call.on_attempt(result, self._clock.now_ms())
            case Wait(duration_ms):
                self._clock.sleep_ms(duration_ms)
                return call.on_read(self._kv.get(key), self._clock.now_ms())
        raise TypeError(step)

    def _finish(self, key: str, running: _RunningCall, finish: Finish) -> None:
        settlement = finish.settlement
        with self._lock:
            if settlement is None or settlement.kind == "release":
                del self._running_calls[key]
            else:
                # The running call stays until its outcome is recorded, so that a
                # repeated request finds the result here during an outage of the
                # key-value service.
                self._key_of_claim[settlement.claim_id] = key
            if settlement is not None:
                self._outcomes.add(settlement, self._clock.now_ms())
        running.result = _result_for_others(finish)
        running.is_done.set()
        if settlement is not None:
            self._wake()

    def _commit_outcomes(self) -> bool:
        now_ms = self._clock.now_ms()
        with self._lock:
            due = self._outcomes.due_settlements(now_ms, MAX_BATCH)
        if not due:
            return False
        lease = self._retention.current(now_ms)
        if lease.is_error():
            return False
        # The lease of a claim may have expired, and a single write with an expired
        # lease would make the whole joint commit fail.
        due = [settlement._replace(lease_id=lease.ok) for settlement in due]
        transactions = [transaction_of(settlement) for settlement in due]
        outcomes = commit_together(self._kv.commit, transactions)
        for outcome in outcomes:
            self._check_lease(outcome)
        now_ms = self._clock.now_ms()
        with self._lock:
            for settlement, outcome in zip(due, outcomes, strict=True):
                if self._outcomes.on_commit(settlement, outcome, now_ms):
                    self._forget_running_call(settlement.claim_id)
        return True

    def _check_lease(self, outcome: CommitOutcome) -> None:
        """Request a new lease next time if the service may have lost this one."""
        is_gone = outcome == CommitNotDone(LEASE_GONE)
        if is_gone or isinstance(outcome, CommitUnknown):
            self._retention.forget()

    def _forget_running_call(self, claim_id: str) -> None:
        key = self._key_of_claim.pop(claim_id, None)
        if key is not None:
            self._running_calls.pop(key, None)

    def _count(self, request: KeyedRequest, finish: Finish) -> None:
        result = finish.result
        label = "answered" if result.is_ok() else result.error.code
        self._telemetry.metrics.incr(KEYED_CALLS, label=label)
        if result.is_error() and result.error.code == KeyedOutcomeUnknown.code:
            self._telemetry.log(
                events.OUTCOME_UNKNOWN,
                request_id=request.request_id,
                client_account=request.client_account,
                service=request.service,
                reason=result.error.reason,
            )


def _attempt_or_unknown(attempt: Attempt) -> Result[ServiceResponse, Failure]:
    try:
        return attempt()
    except Exception as error:  # noqa: BLE001 - after any error the call may have run
        return Error(KeyedOutcomeUnknown(type(error).__name__))


def _result_for_others(finish: Finish) -> Result[ServiceResponse, Failure]:
    if finish.result.is_error() or finish.settlement is None:
        return finish.result
    # Waiting requests get what a later request would read from the record, never the
    # rest of a body that only the first request may read.
    return replay(decode(finish.settlement.value).answer)
