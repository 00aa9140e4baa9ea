"""Runs calls to plain services.

A call that may not be repeated is sent until one attempt may have reached a server,
and never after that. A repeatable call is retried within the retry budget and its
deadline.
"""

import random
import threading
from collections.abc import Callable

from expression import Error, Result

from ..errors import DeadlineExceeded, Failure, NotRun
from ..fleet import Fleet, ServiceView
from ..idempotency import IdempotencyPort, IssuedKey, KeyedRequest
from ..profiles import ProfilePort, ProfileRecord
from ..runtime import Clock
from ..telemetry import Telemetry
from ..telemetry.metrics import ATTEMPTS_FAILED, CROSSED_ANSWERS, SERVICE_RETRIES
from ..upstreams.errors import AttemptFailed
from ..upstreams.service_client import (
    RESPONSE_ID_MISMATCH,
    ServiceCall,
    ServiceClient,
    ServiceResponse,
)
from .errors import CallOutcomeUnknown, NoServer, ProfileNotInForce, TooManyCalls
from .requests import Caller, ServiceRequest
from .routes import is_repeatable
from .service_retry import RetryBudget, retry_delay_ms


class ServiceDispatcher:
    """Runs calls on the servers of plain services.

    Parameters
    ----------
    max_calls : int
        Limit of concurrent calls, so that a server that hangs can't block all
        threads.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: ServiceClient,
        profiles: ProfilePort,
        idempotency: IdempotencyPort,
        telemetry: Telemetry,
        clock: Clock,
        rng: random.Random,
        max_calls: int,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._profiles = profiles
        self._idempotency = idempotency
        self._telemetry = telemetry
        self._clock = clock
        self._rng = rng
        self._budget = RetryBudget()
        self._slots = threading.BoundedSemaphore(max_calls)

    def run(self, request: ServiceRequest) -> Result[ServiceResponse, Failure]:
        """Return the server's response, or the failure."""
        if not self._slots.acquire(blocking=False):
            return Error(TooManyCalls(request.service, _not_run_if_unsent(request)))
        try:
            return self._run(request)
        finally:
            self._slots.release()

    def _run(self, request: ServiceRequest) -> Result[ServiceResponse, Failure]:
        record = self._profiles.current(request.profile)
        if record.is_error():
            return record
        if self._is_repeatable(record.ok, request):
            return self._run_repeatable(request)
        if record.ok.trust == "start":
            return Error(
                ProfileNotInForce(request.profile, _not_run_if_unsent(request))
            )
        if request.idempotency_key:
            keyed = _keyed_request(request)
            return self._idempotency.run(keyed, lambda: self.run_once(request))
        return self.run_once(request)

    def issue_key(self, caller: Caller) -> IssuedKey:
        """Return a new idempotency key for ``caller``."""
        return self._idempotency.issue(caller.client_account, caller.member)

    def run_forwarded(self, keyed: KeyedRequest) -> Result[ServiceResponse, Failure]:
        """Run a call whose key this instance issued, for another instance."""
        fields = keyed._asdict()
        caller = Caller(fields.pop("client_account"), fields.pop("member"))
        key = fields.pop("key")
        return self.run_once(
            ServiceRequest(caller=caller, idempotency_key=key, **fields)
        )

    def run_once(self, request: ServiceRequest) -> Result[ServiceResponse, Failure]:
        """Make at most one attempt that may have reached a server."""
        for server in self._shuffled_servers(request.service):
            if self._clock.now_ms() >= request.deadline_at_ms:
                return Error(DeadlineExceeded(0, "true"))
            response = self._attempt(request, server, is_repeatable=False)
            if response.is_ok():
                return response
            if response.error.not_run != "true":
                failure = response.error
                return Error(CallOutcomeUnknown(failure.upstream_id, failure.reason))
        return Error(NoServer(request.service))

    def _run_repeatable(
        self, request: ServiceRequest
    ) -> Result[ServiceResponse, Failure]:
        self._budget.note_request()
        n_failed = 0
        tried: set[str] = set()
        not_run: NotRun = "true"
        while True:
            server = self._next_server(request.service, tried)
            if server is None:
                return Error(NoServer(request.service, not_run))
            response = self._attempt(request, server, is_repeatable=True)
            if response.is_ok():
                return response
            if response.error.not_run != "true":
                not_run = "unknown"
            n_failed += 1
            tried.add(server.upstream_id)
            if not self._wait_to_retry(n_failed, request.deadline_at_ms):
                failure = response.error
                return Error(
                    CallOutcomeUnknown(failure.upstream_id, failure.reason, not_run)
                )

    def _wait_to_retry(self, n_failed: int, deadline_at_ms: float) -> bool:
        delay_ms = retry_delay_ms(n_failed, self._rng)
        if self._clock.now_ms() + delay_ms >= deadline_at_ms:
            return False
        if not self._budget.try_take():
            return False
        self._telemetry.metrics.incr(SERVICE_RETRIES)
        self._clock.sleep_ms(delay_ms)
        return True

    def _next_server(self, service: str, tried: set[str]) -> ServiceView | None:
        servers = self._shuffled_servers(service)
        untried = [s for s in servers if s.upstream_id not in tried]
        return next(iter(untried or servers), None)

    def _shuffled_servers(self, service: str) -> list[ServiceView]:
        servers = list(self._fleet.services(service))
        self._rng.shuffle(servers)
        return servers

    def _attempt(
        self, request: ServiceRequest, server: ServiceView, is_repeatable: bool
    ) -> Result[ServiceResponse, AttemptFailed]:
        upstream_id = server.upstream_id
        call = _service_call(request, server, is_repeatable)
        response = self._track_call(upstream_id, lambda: self._client.call(call))
        # A call ended by its caller's deadline says nothing about the server's health.
        if response.is_ok() or self._clock.now_ms() < request.deadline_at_ms:
            self._fleet.note_outcome(upstream_id, response.is_ok())
        if response.is_error():
            self._telemetry.metrics.incr(ATTEMPTS_FAILED, label=upstream_id)
            if response.error.reason == RESPONSE_ID_MISMATCH:
                self._telemetry.metrics.incr(CROSSED_ANSWERS, label=upstream_id)
        return response

    def _track_call(
        self,
        upstream_id: str,
        call: Callable[[], Result[ServiceResponse, AttemptFailed]],
    ) -> Result[ServiceResponse, AttemptFailed]:
        self._fleet.begin(upstream_id)
        is_open = False
        try:
            response = call()
            if response.is_ok() and response.ok.rest is not None:
                response.ok.rest.on_close(lambda _: self._fleet.end(upstream_id))
                is_open = True
            return response
        finally:
            if not is_open:
                self._fleet.end(upstream_id)

    def _is_repeatable(self, record: ProfileRecord, request: ServiceRequest) -> bool:
        return is_repeatable(
            record.profile, request.service, request.method, request.path
        )


def _not_run_if_unsent(request: ServiceRequest) -> NotRun:
    # An earlier request with the same key may have run through another instance, so
    # only a call without a key is known not to have run.
    return "unknown" if request.idempotency_key else "true"


def _keyed_request(request: ServiceRequest) -> KeyedRequest:
    return KeyedRequest(
        client_account=request.caller.client_account,
        member=request.caller.member,
        key=request.idempotency_key,
        profile=request.profile,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        request_id=request.request_id,
        deadline_at_ms=request.deadline_at_ms,
    )


def _service_call(
    request: ServiceRequest, server: ServiceView, is_repeatable: bool
) -> ServiceCall:
    return ServiceCall(
        upstream_id=server.upstream_id,
        address=server.address,
        request_id=request.request_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline_at_ms=request.deadline_at_ms,
        is_repeatable=is_repeatable,
    )
