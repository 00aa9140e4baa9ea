"""Runs calls with issued keys: here if this run issued the key, else at its issuer."""

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
    IssuedTable,
    KeySeal,
    Pending,
    Run,
    Settled,
)
from .issued_messages import answered, failed, from_message, to_message, to_request
from .keyed_call import replay
from .port import Attempt, IssuedKey, KeyedRequest
from .records import StoredAnswer, fingerprint, store_answer

#: Calls that run here for other instances at once.
N_FORWARDED_THREADS = 8
#: How long the issuer waits for an outcome before it answers "pending".
HOLD_MS = 20.0
FIRST_POLL_MS = 10.0
MAX_POLL_MS = 250.0
ASK_TIMEOUT_MS = 1_000.0
#: Longer than the wait between two questions for an outcome.
LINGER_MS = 2.0 * MAX_POLL_MS
RETRY_AFTER_MS = 1_000

RunForwarded = Callable[[KeyedRequest], Result[ServiceResponse, Failure]]


class IssuedCalls:
    """Issued keys of this run, and the way to those of others.

    Parameters
    ----------
    membership : MembershipPort
        Names this run and reaches issuers.
    secret : bytes
        Shared by all instances; seals the keys.
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
        self._table = IssuedTable(settings.issued_key_ttl_ms, settings.n_issued_keys)
        self._changed = threading.Condition()
        self._pool = ThreadPoolExecutor(N_FORWARDED_THREADS, "issued-calls")
        self._forwarded_at_ms = -math.inf

    def issue(self, client_account: str, member: str) -> IssuedKey:
        """Return a new key; nothing is remembered until it is used."""
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
        if self._is_own(claims.ok):
            return self._run_here(claims.ok, request, attempt)
        return self._run_there(claims.ok, request)

    def serve(self, run_forwarded: RunForwarded) -> None:
        """Run calls that other instances forward."""

        def handle(sender_id: str, message: IssuedCall) -> IssuedOutcome:
            return self._on_forwarded(message, run_forwarded)

        self._membership.subscribe(IssuedCall, handle, is_slow=True)

    def close(self) -> None:
        """Finish the forwarded calls, and stay while their outcomes are fetched."""
        self._pool.shutdown(wait=True)
        fetched_at_ms = self._forwarded_at_ms + LINGER_MS
        self._clock.sleep_ms(max(0.0, fetched_at_ms - self._clock.now_ms()))

    def _is_own(self, claims: IssuedKeyClaims) -> bool:
        view = self._membership.self_view()
        own = (view.instance_id, view.incarnation)
        return (claims.instance_id, claims.incarnation) == own

    def _run_here(
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
        return replay(outcome) if _is_answer(outcome) else Error(outcome)

    def _begin_or_wait(
        self, claims: IssuedKeyClaims, request: KeyedRequest, until_ms: float
    ) -> Result[Run | Pending | Settled, Failure]:
        """Begin; while the call is running, wait for its end until ``until_ms``."""
        mark = fingerprint(request)
        while True:
            now_ms = self._clock.now_ms()
            with self._changed:
                begun = self._table.begin(claims, mark, request.request_id, now_ms)
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
            self._note(nonce, result)
        return result

    def _note(self, nonce: bytes, result: Result[ServiceResponse, Failure]) -> None:
        with self._changed:
            if result.is_ok():
                limit = self._settings.max_outcome_bytes
                self._table.settle(nonce, store_answer(result.ok, limit))
            elif getattr(result.error, "not_run", "unknown") == "true":
                self._table.release(nonce, result.error)
            else:
                self._table.settle(nonce, KeyedOutcomeUnknown(result.error.code))
            self._changed.notify_all()

    def _run_there(
        self, claims: IssuedKeyClaims, request: KeyedRequest
    ) -> Result[ServiceResponse, Failure]:
        poll_ms = FIRST_POLL_MS
        while True:
            now_ms = self._clock.now_ms()
            remaining_ms = request.deadline_at_ms - now_ms
            if remaining_ms <= 0:
                return Error(CallInProgress(RETRY_AFTER_MS))
            message = to_message(request, remaining_ms)
            timeout_ms = min(ASK_TIMEOUT_MS, remaining_ms)
            reply = self._membership.ask(claims.instance_id, message, timeout_ms)
            # Asking again is safe: the issuer runs a key's call once, however often
            # it is asked.
            if reply.is_ok() and reply.ok.state != "pending":
                return from_message(reply.ok)
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
            return failed(claims.error)
        if not self._is_own(claims.ok):
            return failed(KeyedOutcomeUnknown("IssuerGone"))
        until_ms = self._clock.now_ms() + HOLD_MS
        begun = self._begin_or_wait(claims.ok, request, until_ms)
        if begun.is_ok() and isinstance(begun.ok, Run):
            self._start_forwarded(claims.ok.nonce, request, run_forwarded)
            begun = self._begin_or_wait(claims.ok, request, until_ms)
        if begun.is_error():
            return failed(begun.error)
        if isinstance(begun.ok, Pending):
            return IssuedOutcome("pending")
        outcome = begun.ok.outcome
        return answered(outcome) if _is_answer(outcome) else failed(outcome)

    def _start_forwarded(
        self, nonce: bytes, request: KeyedRequest, run_forwarded: RunForwarded
    ) -> None:
        def attempt() -> Result[ServiceResponse, Failure]:
            result = run_forwarded(request)
            self._forwarded_at_ms = self._clock.now_ms()
            if result.is_ok() and result.ok.rest is not None:
                # Nobody here reads the rest; only the fact that it ran is kept.
                result.ok.rest.close()
            return result

        try:
            self._pool.submit(self._make_attempt, nonce, attempt)
        except RuntimeError:
            # The pool is closed because this instance stops; nothing was sent.
            with self._changed:
                self._table.release(nonce, Unavailable("issuer", RETRY_AFTER_MS))


def _is_answer(outcome: object) -> bool:
    return isinstance(outcome, StoredAnswer)
