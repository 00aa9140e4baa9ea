"""State machine of one call with a caller's key: claim, attempt, outcome.

The state machine does no I/O: each method takes an event and returns the next step,
which the caller carries out. Only the owner of a claim may send the call. A claim is
never taken over, so that the call cannot run twice when its owner was only paused.
"""

import random
from collections.abc import Callable
from typing import Literal, NamedTuple

from expression import Error, Ok, Result

from ..errors import DeadlineExceeded, Failure
from ..store import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitOutcome,
    Compare,
    KvEntry,
    Put,
    Transaction,
)
from ..upstreams.service_client import ServiceResponse
from .errors import (
    AnswerNotKept,
    CallInProgress,
    KeyedOutcomeUnknown,
    KeyReused,
    KeyStoreUnavailable,
)
from .records import ClaimRecord, StoredResponse, decode, encode, make_stored_response

FIRST_WAIT_MS = 20.0
MAX_WAIT_MS = 1_000.0
#: How long the owner of a claim may be missing from the live members before its call
#: is reported as unknown: it may still turn out to be alive.
CLAIMER_GONE_GRACE_MS = 2_000.0
RETRY_AFTER_MS = 1_000
#: The call is sent only within this time after its claim was requested. That is far
#: less than the retention of claims: a process that was paused for longer must not
#: send, since its claim may have expired and another instance may have claimed the key.
CLAIM_VALIDITY_MS = 60_000.0


class CommitClaim(NamedTuple):
    """Commit the claim; then call ``on_commit``."""

    transaction: Transaction


class MakeAttempt(NamedTuple):
    """Make the one attempt; then call ``on_attempt``."""


class Wait(NamedTuple):
    """Wait, then read the key and call ``on_read``."""

    duration_ms: float


class Settlement(NamedTuple):
    """Final write to the record of a claim.

    Parameters
    ----------
    kind : {"record", "release"}
        Whether the outcome is recorded or the claim is released.
    value : bytes
        The record with its outcome, or marked as released.
    mod_revision : int
        Revision of the claim; if the claim may not have been written, the revision
        that it was to replace.
    """

    storage_key: str
    claim_id: str
    kind: Literal["record", "release"]
    value: bytes
    lease_id: int
    mod_revision: int


class Finish(NamedTuple):
    """Return ``result`` to the caller and commit ``settlement``, if there is one."""

    result: Result[ServiceResponse, Failure]
    settlement: Settlement | None = None


Step = CommitClaim | MakeAttempt | Wait | Finish


class KeyedCall:
    """State of one call.

    Parameters
    ----------
    storage_key : str
        Storage key of the idempotency key's record.
    claim : ClaimRecord
        The claim to write.
    lease_id : int
        Lease of the record, which ends its retention.
    deadline_at_ms : float
        Deadline of the call on the monotonic clock.
    max_outcome_bytes : int
        Larger response bodies are not recorded.
    is_live : callable
        ``is_live(instance_id, incarnation)``, as far as this instance knows.
    rng : random.Random
        Source of the jitter between the reads of waiting calls.
    """

    def __init__(
        self,
        storage_key: str,
        claim: ClaimRecord,
        lease_id: int,
        deadline_at_ms: float,
        max_outcome_bytes: int,
        is_live: Callable[[str, str], bool],
        rng: random.Random,
    ) -> None:
        self._storage_key = storage_key
        self._claim = claim
        self._lease_id = lease_id
        self._deadline_at_ms = deadline_at_ms
        self._max_outcome_bytes = max_outcome_bytes
        self._is_live = is_live
        self._rng = rng
        self._mod_revision = 0
        self._wait_ms = FIRST_WAIT_MS
        self._claimer_gone_since_ms: float | None = None
        self._claim_requested_at_ms = 0.0

    def start(self, now_ms: float) -> Step:
        """Return the first step."""
        return self._commit_claim(now_ms, 0)

    def on_commit(self, outcome: CommitOutcome, now_ms: float) -> Step:
        """Handle the outcome of the claim's commit."""
        if isinstance(outcome, CommitDone):
            return self._on_claimed(outcome.revision, now_ms)
        if isinstance(outcome, CommitConflict):
            return self._on_entry(next(iter(outcome.entries), None), now_ms)
        failure = KeyStoreUnavailable(outcome.reason, RETRY_AFTER_MS)
        if isinstance(outcome, CommitNotDone):
            return Finish(Error(failure))
        # The claim may have been written, or may still be written. Nothing was sent
        # under it, so it is released for the next request with this key.
        return Finish(Error(failure), self._release_claim())

    def on_read(self, entry: Result[KvEntry | None, Failure], now_ms: float) -> Step:
        """Handle the result of a read of the key."""
        if entry.is_ok():
            return self._on_entry(entry.ok, now_ms)
        if now_ms >= self._deadline_at_ms:
            failure = KeyStoreUnavailable(entry.error.reason, RETRY_AFTER_MS)
            return Finish(Error(failure))
        return self._next_wait(now_ms)

    def on_attempt(
        self, result: Result[ServiceResponse, Failure], now_ms: float
    ) -> Finish:
        """Handle the result of the attempt."""
        if result.is_ok():
            response = make_stored_response(result.ok, self._max_outcome_bytes)
            return Finish(
                result, self._make_settlement("record", self._answered_record(response))
            )
        if getattr(result.error, "not_run", "unknown") == "true":
            return Finish(result, self._release_claim())
        return Finish(result, self._make_settlement("record", self._unknown_record()))

    def _on_claimed(self, mod_revision: int, now_ms: float) -> Step:
        self._mod_revision = mod_revision
        use_until_ms = self._claim_requested_at_ms + CLAIM_VALIDITY_MS
        if now_ms >= min(self._deadline_at_ms, use_until_ms):
            failure = DeadlineExceeded(int(self._deadline_at_ms), "true")
            return Finish(Error(failure), self._release_claim())
        return MakeAttempt()

    def _on_entry(self, entry: KvEntry | None, now_ms: float) -> Step:
        if entry is None:
            return self._claim_again(now_ms, 0)
        record = decode(entry.value)
        if record.state == "released":
            return self._claim_again(now_ms, entry.mod_revision)
        if record.fingerprint != self._claim.fingerprint:
            return Finish(Error(KeyReused()))
        if record.state == "answered":
            return Finish(replay(record.answer))
        if record.state == "unknown":
            return Finish(Error(KeyedOutcomeUnknown("Recorded")))
        return self._on_other_claim(record, now_ms)

    def _claim_again(self, now_ms: float, mod_revision: int) -> Step:
        if now_ms >= self._deadline_at_ms:
            return Finish(Error(CallInProgress(RETRY_AFTER_MS)))
        return self._commit_claim(now_ms, mod_revision)

    def _on_other_claim(self, record: ClaimRecord, now_ms: float) -> Step:
        if self._is_live(record.instance_id, record.incarnation):
            self._claimer_gone_since_ms = None
        elif self._claimer_gone_since_ms is None:
            self._claimer_gone_since_ms = now_ms
        elif now_ms - self._claimer_gone_since_ms >= CLAIMER_GONE_GRACE_MS:
            return Finish(Error(KeyedOutcomeUnknown("ClaimerGone")))
        if now_ms < self._deadline_at_ms:
            return self._next_wait(now_ms)
        if self._claimer_gone_since_ms is not None:
            return Finish(Error(KeyedOutcomeUnknown("ClaimerGone")))
        return Finish(Error(CallInProgress(RETRY_AFTER_MS)))

    def _next_wait(self, now_ms: float) -> Wait:
        remaining_ms = max(0.0, self._deadline_at_ms - now_ms)
        duration_ms = self._wait_ms * self._rng.uniform(0.75, 1.25)
        self._wait_ms = min(MAX_WAIT_MS, 2.0 * self._wait_ms)
        return Wait(min(duration_ms, remaining_ms))

    def _commit_claim(self, now_ms: float, mod_revision: int) -> CommitClaim:
        self._claim_requested_at_ms = now_ms
        self._mod_revision = mod_revision
        put = Put(self._storage_key, encode(self._claim), self._lease_id)
        compare = Compare(self._storage_key, mod_revision)
        return CommitClaim(Transaction((compare,), (put,)))

    def _answered_record(self, response: StoredResponse) -> ClaimRecord:
        return _settled_record(self._claim, "answered", response)

    def _unknown_record(self) -> ClaimRecord:
        return _settled_record(self._claim, "unknown", None)

    def _release_claim(self) -> Settlement:
        return self._make_settlement(
            "release", _settled_record(self._claim, "released", None)
        )

    def _make_settlement(
        self, kind: Literal["record", "release"], record: ClaimRecord
    ) -> Settlement:
        return Settlement(
            self._storage_key,
            self._claim.claim_id,
            kind,
            encode(record),
            self._lease_id,
            self._mod_revision,
        )


def replay(stored: StoredResponse) -> Result[ServiceResponse, Failure]:
    """Return a stored response as a later request with the same key gets it."""
    if stored.body is None:
        return Error(AnswerNotKept(stored.status, stored.n_body_bytes))
    headers = (*stored.headers, ("Idempotency-Replayed", "true"))
    return Ok(ServiceResponse(stored.status, headers, stored.body))


def _settled_record(
    claim: ClaimRecord,
    state: Literal["answered", "unknown", "released"],
    response: StoredResponse | None,
) -> ClaimRecord:
    return ClaimRecord(
        fingerprint=claim.fingerprint,
        claim_id=claim.claim_id,
        instance_id=claim.instance_id,
        incarnation=claim.incarnation,
        state=state,
        answer=response,
    )
