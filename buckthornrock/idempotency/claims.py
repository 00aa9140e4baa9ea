"""Runs keyed calls with claims in the key-value service."""

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
#: How long a claim may take; longer than a lost answer takes to be settled.
CLAIM_LIMIT_MS = 1_500.0
#: How long a stopping instance tries to record what is left.
FLUSH_LIMIT_MS = 2_000.0
FLUSH_STEP_MS = 50.0


class Identity(NamedTuple):
    """The instance and its run, as claims name them."""

    instance_id: str
    incarnation: str


class _Flight:
    """A call that is being made here, for others with the same key to wait on."""

    def __init__(self, fingerprint: bytes) -> None:
        self.fingerprint = fingerprint
        self.is_done = threading.Event()
        self.result: Result[ServiceResponse, Failure] = Error(
            KeyedOutcomeUnknown("Lost")
        )


class ClaimedCalls:
    """Keyed calls of this instance, and the outcomes that it has yet to record.

    Parameters
    ----------
    kv : KvPort
        Holds claims and outcomes.
    identity : Identity
        Who claims.
    is_live : callable
        ``is_live(instance_id, incarnation)``.
    secret : bytes
        Key of the digests under which keys are stored.
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
            lambda transaction: kv.commit(transaction, limit_ms=CLAIM_LIMIT_MS)
        )
        self._lock = threading.Lock()
        self._flights: dict[str, _Flight] = {}
        self._outcomes = OutcomeQueue(rng)
        self._flight_of_claim: dict[str, str] = {}
        self._wake: Callable[[], None] = lambda: None

    def run(
        self, request: KeyedRequest, attempt: Attempt
    ) -> Result[ServiceResponse, Failure]:
        """Run the call unless its key says that it ran; return its outcome."""
        key = storage_key(request, self._secret)
        mark = fingerprint(request)
        with self._lock:
            flight = self._flights.get(key)
            is_leader = flight is None
            if is_leader and len(self._outcomes) >= MAX_PENDING_OUTCOMES:
                return Error(KeyStoreUnavailable("TooManyPending", RETRY_AFTER_MS))
            if is_leader:
                flight = _Flight(mark)
                self._flights[key] = flight
        if is_leader:
            return self._lead(key, mark, flight, request, attempt)
        return self._follow(flight, mark, request)

    def wake_with(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` whenever there is an outcome to record."""
        self._wake = wake

    def record_outcomes(self) -> None:
        """Record what is due; called over and over by one thread."""
        while self._commit_outcomes():
            pass
        with self._lock:
            n_pending = len(self._outcomes)
        self._telemetry.metrics.gauge(OUTCOMES_PENDING, n_pending)

    def flush(self) -> None:
        """Record what is left before the instance ends."""
        give_up_at_ms = self._clock.now_ms() + FLUSH_LIMIT_MS
        while self.n_pending() and self._clock.now_ms() < give_up_at_ms:
            self.record_outcomes()
            if self.n_pending():
                self._clock.sleep_ms(FLUSH_STEP_MS)

    def n_pending(self) -> int:
        """Return how many outcomes are not recorded yet."""
        with self._lock:
            return len(self._outcomes)

    def _follow(
        self, flight: _Flight, mark: bytes, request: KeyedRequest
    ) -> Result[ServiceResponse, Failure]:
        if flight.fingerprint != mark:
            return Error(KeyReused())
        remaining_ms = max(0.0, request.deadline_at_ms - self._clock.now_ms())
        if not flight.is_done.wait(remaining_ms / 1000.0):
            return Error(CallInProgress(RETRY_AFTER_MS))
        return flight.result

    def _lead(
        self,
        key: str,
        mark: bytes,
        flight: _Flight,
        request: KeyedRequest,
        attempt: Attempt,
    ) -> Result[ServiceResponse, Failure]:
        finish = Finish(Error(KeyedOutcomeUnknown("InternalError")))
        try:
            finish = self._drive(key, mark, request, attempt)
        finally:
            self._land(key, flight, finish)
        self._count(request, finish)
        return finish.result

    def _drive(
        self, key: str, mark: bytes, request: KeyedRequest, attempt: Attempt
    ) -> Finish:
        lease = self._retention.current(self._clock.now_ms())
        if lease.is_error():
            failure = KeyStoreUnavailable(lease.error.reason, RETRY_AFTER_MS)
            return Finish(Error(failure))
        call = self._keyed_call(key, mark, lease.ok, request)
        step = call.start(self._clock.now_ms())
        while not isinstance(step, Finish):
            step = self._carry_out(call, key, step, attempt)
        return step

    def _keyed_call(
        self, key: str, mark: bytes, lease_id: int, request: KeyedRequest
    ) -> KeyedCall:
        claim = ClaimRecord(
            fingerprint=mark,
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

    def _carry_out(
        self, call: KeyedCall, key: str, step: Step, attempt: Attempt
    ) -> Step:
        match step:
            case CommitClaim(transaction):
                outcome = self._committer.commit(transaction)
                self._check_lease(outcome)
                return call.on_commit(outcome, self._clock.now_ms())
            case MakeAttempt():
                result = _guarded(attempt)
                return call.on_attempt(result, self._clock.now_ms())
            case Wait(duration_ms):
                self._clock.sleep_ms(duration_ms)
                return call.on_read(self._kv.get(key), self._clock.now_ms())
        raise TypeError(step)

    def _land(self, key: str, flight: _Flight, finish: Finish) -> None:
        settlement = finish.settlement
        with self._lock:
            if settlement is None or settlement.kind == "release":
                del self._flights[key]
            else:
                # Kept until the outcome is recorded, so that a repeated request
                # finds it here while the key-value service is down.
                self._flight_of_claim[settlement.claim_id] = key
            if settlement is not None:
                self._outcomes.add(settlement, self._clock.now_ms())
        flight.result = _shared(finish)
        flight.is_done.set()
        if settlement is not None:
            self._wake()

    def _commit_outcomes(self) -> bool:
        now_ms = self._clock.now_ms()
        with self._lock:
            due = self._outcomes.due_commits(now_ms, MAX_BATCH)
        if not due:
            return False
        lease = self._retention.current(now_ms)
        if lease.is_error():
            return False
        # The lease of the claim may be gone; one such record would fail all of them.
        due = [settlement._replace(lease_id=lease.ok) for settlement in due]
        transactions = [transaction_of(settlement) for settlement in due]
        outcomes = commit_together(self._kv.commit, transactions)
        for outcome in outcomes:
            self._check_lease(outcome)
        now_ms = self._clock.now_ms()
        with self._lock:
            for settlement, outcome in zip(due, outcomes, strict=True):
                if self._outcomes.on_commit(settlement, outcome, now_ms):
                    self._forget_flight(settlement.claim_id)
        return True

    def _check_lease(self, outcome: CommitOutcome) -> None:
        """Take a new lease next time if the service may have lost this one."""
        is_gone = outcome == CommitNotDone(LEASE_GONE)
        if is_gone or isinstance(outcome, CommitUnknown):
            self._retention.forget()

    def _forget_flight(self, claim_id: str) -> None:
        key = self._flight_of_claim.pop(claim_id, None)
        if key is not None:
            self._flights.pop(key, None)

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


def _guarded(attempt: Attempt) -> Result[ServiceResponse, Failure]:
    try:
        return attempt()
    except Exception as error:  # noqa: BLE001 - whatever it was, the call may have run
        return Error(KeyedOutcomeUnknown(type(error).__name__))


def _shared(finish: Finish) -> Result[ServiceResponse, Failure]:
    if finish.result.is_error() or finish.settlement is None:
        return finish.result
    # Others get what a later request would read: never the unread rest of a body.
    return replay(decode(finish.settlement.value).answer)
