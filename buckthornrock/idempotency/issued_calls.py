"""Runs calls with issued keys at the instance that issued the key.

If this incarnation of this instance issued the key, the call runs here. Otherwise it is
forwarded to the issuer.
"""

import math
import os
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from expression import Error, Result

from ..conf.settings import IdempotencySettings
from ..errors import Failure, Unavailable
from ..membership import MembershipPort
from ..runtime import Clock
from ..upstreams.service_client import ServiceResponse
from ..wire.idempotency_messages import IssuedCall, IssuedOutcome
from .errors import CallInProgress, KeyedOutcomeUnknown
from .issued_keys import (
    NONCE_BYTES,
    IssuedKeyClaims,
    IssuedKeyTable,
    KeySeal,
    Pending,
    Run,
    Settled,
)
from .issued_messages import (
    outcome_of_failure,
    outcome_of_response,
    to_call_message,
    to_request,
    to_result,
)
from .keyed_call import replay
from .port import Attempt, IssuedKey, KeyedRequest
from .records import StoredResponse, fingerprint, make_stored_response

#: Maximum number of forwarded calls that run here at the same time.
N_FORWARDED_THREADS = 8
#: How long the issuer waits for an outcome before it replies "pending".
LONG_POLL_MS = 20.0
FIRST_POLL_MS = 10.0
MAX_POLL_MS = 250.0
ASK_TIMEOUT_MS = 1_000.0
#: How long a stopping issuer stays available so that other instances can fetch
#: outcomes; longer than the longest delay between two of their polls.
FETCH_GRACE_MS = 2.0 * MAX_POLL_MS
RETRY_AFTER_MS = 1_000

RunForwarded = Callable[[KeyedRequest], Result[ServiceResponse, Failure]]


class IssuedCalls:
    """Issues keys, and runs calls with keys that this or another instance issued.

    Parameters
    ----------
    membership : MembershipPort
        Identifies this incarnation, and sends messages to other issuers.
    secret : bytes
        Shared by all instances; authenticates the keys.
    """

    def __init__(
        self,
        membership: MembershipPort,
        secret: bytes,
        settings: IdempotencySettings,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._seal = KeySeal(secret)
        self._settings = settings
        self._clock = clock
        self._table = IssuedKeyTable(settings.issued_key_ttl_ms, settings.n_issued_keys)
        self._changed = threading.Condition()
        self._pool = ThreadPoolExecutor(N_FORWARDED_THREADS, "issued-calls")
        self._last_forwarded_end_ms = -math.inf

    def issue(self, client_account: str, member: str) -> IssuedKey:
        """Return a new key; nothing is stored until it is used."""
        view = self._membership.self_view()
        claims = IssuedKeyClaims(
            view.instance_id,
            view.incarnation,
            os.urandom(NONCE_BYTES),
            int(self._clock.now_ms()),
        )
        key = self._seal.seal(claims, client_account, member)
        return IssuedKey(key, self._settings.issued_key_ttl_ms)

    def run(
        self, request: KeyedRequest, attempt: Attempt
    ) -> Result[ServiceResponse, Failure]:
        """Run the call at the key's issuer; return its outcome."""
        claims = self._seal.open(request.key, request.client_account, request.member)
        if claims.is_error():
            return claims
        if self._is_issued_here(claims.ok):
            return self._run_locally(claims.ok, request, attempt)
        return self._run_at_issuer(claims.ok, request)

    def serve(self, run_forwarded: RunForwarded) -> None:
        """Run calls that other instances forward."""

        def handle(sender_id: str, message: IssuedCall) -> IssuedOutcome:
            return self._on_forwarded(message, run_forwarded)

        self._membership.subscribe(IssuedCall, handle, is_slow=True)

    def close(self) -> None:
        """Finish the forwarded calls, and stay available to report their outcomes."""
        self._pool.shutdown(wait=True)
        fetched_at_ms = self._last_forwarded_end_ms + FETCH_GRACE_MS
        self._clock.sleep_ms(max(0.0, fetched_at_ms - self._clock.now_ms()))

    def _is_issued_here(self, claims: IssuedKeyClaims) -> bool:
        view = self._membership.self_view()
        own = (view.instance_id, view.incarnation)
        return (claims.instance_id, claims.incarnation) == own

    def _run_locally(
        self, claims: IssuedKeyClaims, request: KeyedRequest, attempt: Attempt
    ) -> Result[ServiceResponse, Failure]:
        begun = self._begin_or_wait(claims, request, request.deadline_at_ms)
        if begun.is_error():
            return begun
        if isinstance(begun.ok, Run):
            return self._make_attempt(claims.nonce, attempt)
        if isinstance(begun.ok, Pending):
            return Error(CallInProgress(RETRY_AFTER_MS))
        outcome = begun.ok.outcome
        return replay(outcome) if _is_response(outcome) else Error(outcome)

    def _begin_or_wait(
        self, claims: IssuedKeyClaims, request: KeyedRequest, until_ms: float
    ) -> Result[Run | Pending | Settled, Failure]:
        """Begin the call; if it is running, wait for its end until ``until_ms``."""
        call_fingerprint = fingerprint(request)
        while True:
            now_ms = self._clock.now_ms()
            with self._changed:
                begun = self._table.begin(
                    claims, call_fingerprint, request.request_id, now_ms
                )
                is_pending = begun.is_ok() and isinstance(begun.ok, Pending)
                if not is_pending or now_ms >= until_ms:
                    return begun
                self._changed.wait((until_ms - now_ms) / 1000.0)

    def _make_attempt(
        self, nonce: bytes, attempt: Attempt
    ) -> Result[ServiceResponse, Failure]:
        result: Result[ServiceResponse, Failure] = Error(KeyedOutcomeUnknown("Failed"))
        try:
            result = attempt()
        finally:
            self._record_result(nonce, result)
        return result

    def _record_result(
        self, nonce: bytes, result: Result[ServiceResponse, Failure]
    ) -> None:
        with self._changed:
            if result.is_ok():
                limit = self._settings.max_outcome_bytes
                self._table.settle(nonce, make_stored_response(result.ok, limit))
            elif getattr(result.error, "not_run", "unknown") == "true":
                self._table.release(nonce, result.error)
            else:
                self._table.settle(nonce, KeyedOutcomeUnknown(result.error.code))
            self._changed.notify_all()

    def _run_at_issuer(
        self, claims: IssuedKeyClaims, request: KeyedRequest
    ) -> Result[ServiceResponse, Failure]:
        poll_ms = FIRST_POLL_MS
        while True:
            now_ms = self._clock.now_ms()
            remaining_ms = request.deadline_at_ms - now_ms
            if remaining_ms <= 0:
                return Error(CallInProgress(RETRY_AFTER_MS))
            message = to_call_message(request, remaining_ms)
            timeout_ms = min(ASK_TIMEOUT_MS, remaining_ms)
            reply = self._membership.ask(claims.instance_id, message, timeout_ms)
            # Retrying is safe: the issuer runs the call of a key once, however many
            # messages it receives.
            if reply.is_ok() and reply.ok.state != "pending":
                return to_result(reply.ok)
            if reply.is_error() and not self._is_live(claims):
                return Error(KeyedOutcomeUnknown("IssuerGone"))
            self._clock.sleep_ms(min(poll_ms, remaining_ms))
            poll_ms = min(MAX_POLL_MS, 2.0 * poll_ms)

    def _is_live(self, claims: IssuedKeyClaims) -> bool:
        wanted = (claims.instance_id, claims.incarnation)
        live = self._membership.live()
        return any((v.instance_id, v.incarnation) == wanted for v in live)

    def _on_forwarded(
        self, message: IssuedCall, run_forwarded: RunForwarded
    ) -> IssuedOutcome:
        request = to_request(message, self._clock.now_ms())
        claims = self._seal.open(request.key, request.client_account, request.member)
        if claims.is_error():
            return outcome_of_failure(claims.error)
        if not self._is_issued_here(claims.ok):
            return outcome_of_failure(KeyedOutcomeUnknown("IssuerGone"))
        until_ms = self._clock.now_ms() + LONG_POLL_MS
        begun = self._begin_or_wait(claims.ok, request, until_ms)
        if begun.is_ok() and isinstance(begun.ok, Run):
            self._start_forwarded(claims.ok.nonce, request, run_forwarded)
            begun = self._begin_or_wait(claims.ok, request, until_ms)
        if begun.is_error():
            return outcome_of_failure(begun.error)
        if isinstance(begun.ok, Pending):
            return IssuedOutcome("pending")
        outcome = begun.ok.outcome
        return (
            outcome_of_response(outcome)
            if _is_response(outcome)
            else outcome_of_failure(outcome)
        )

    def _start_forwarded(
        self, nonce: bytes, request: KeyedRequest, run_forwarded: RunForwarded
    ) -> None:
        def attempt() -> Result[ServiceResponse, Failure]:
            result = run_forwarded(request)
            self._last_forwarded_end_ms = self._clock.now_ms()
            if result.is_ok() and result.ok.rest is not None:
                # No client reads the rest of the body here; the outcome only records
                # that the call ran.
                result.ok.rest.close()
            return result

        try:
            self._pool.submit(self._make_attempt, nonce, attempt)
        except RuntimeError:
            # The pool is closed because this instance is stopping; nothing was sent.
            with self._changed:
                self._table.release(nonce, Unavailable("issuer", RETRY_AFTER_MS))


def _is_response(outcome: object) -> bool:
    return isinstance(outcome, StoredResponse)
