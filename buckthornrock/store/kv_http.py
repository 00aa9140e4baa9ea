"""HTTP calls to the key-value service: budget, breaker, timeout and metrics."""

import random
import threading
from collections.abc import Callable, Iterator
from typing import Literal, NamedTuple

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..conf.settings import KvSettings
from ..events import platform as events
from ..runtime import Clock
from ..runtime.decoding import UNDECODABLE, decode_json
from ..telemetry import Telemetry
from ..telemetry.metrics import KV_CALLS, KV_FAILURES, KV_WAITS_MS
from .breaker import Breaker
from .budget import Budget, CallKind
from .kv_port import LEASE_GONE

N_POOLED_CONNECTIONS = 8
WATCH_READ_TIMEOUT_S = 30.0

_NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


NOT_FOUND = 404
#: The service's own code for "not found"; a 404 without it was sent by something else.
NOT_FOUND_CODE = 5
_PATHS_WITH_LEASES = ("/v3/kv/txn", "/v3/kv/put")


class _Refusal(msgspec.Struct):
    """Error body with which the service refuses a call."""

    code: int = 0


class CallFailed(NamedTuple):
    """A call without a usable response.

    ``was_sent`` is False only if the service provably received nothing.
    ``is_rejected_locally`` is True if the breaker or the budget did not allow the call.
    ``is_refused`` is True if the service answered that it did nothing.
    """

    reason: str
    was_sent: bool
    is_rejected_locally: bool = False
    is_refused: bool = False

    code = "kv-call-failed"


class KvHttp:
    """Connection pool, budget and breaker of one instance."""

    def __init__(
        self,
        settings: KvSettings,
        telemetry: Telemetry,
        clock: Clock,
        rng: random.Random,
        n_instances: Callable[[], int],
    ) -> None:
        self._url = settings.url.rstrip("/")
        self._timeout_ms = settings.timeout_ms
        self._telemetry = telemetry
        self._clock = clock
        self._rng = rng
        self._n_instances = n_instances
        self._lock = threading.Lock()
        self._breaker = Breaker()
        self._budget = Budget(
            settings.fleet_reads_per_s, settings.fleet_writes_per_s, clock.now_ms()
        )
        self._pool = urllib3.PoolManager(maxsize=N_POOLED_CONNECTIONS, retries=False)

    def is_answering(self) -> bool:
        """Return whether the breaker is closed."""
        with self._lock:
            return not self._breaker.is_open

    def call(
        self,
        kind: CallKind,
        access: Literal["read", "write"],
        path: str,
        body: dict,
        deadline_at_ms: float,
    ) -> Result[dict, CallFailed]:
        """Make one call and return the decoded response."""
        refusal = self._admit(kind, access, deadline_at_ms)
        if refusal:
            return Error(CallFailed(refusal, was_sent=False, is_rejected_locally=True))
        self._telemetry.metrics.incr(KV_CALLS, label=f"{kind.name}.{access}")
        answer = self._send(path, body, deadline_at_ms)
        if answer.is_error():
            self._telemetry.metrics.incr(KV_FAILURES, label=kind.name)
        self._report(answer)
        return answer

    def stream(self, kind: CallKind, path: str, body: dict) -> Iterator[dict]:
        """Yield the messages of a streaming call until it ends or fails."""
        deadline_at_ms = self._clock.now_ms() + self._timeout_ms
        if self._admit(kind, "read", deadline_at_ms):
            return
        self._telemetry.metrics.incr(KV_CALLS, label=f"{kind.name}.watch")
        timeout = urllib3.Timeout(
            connect=self._timeout_ms / 1000.0, read=WATCH_READ_TIMEOUT_S
        )
        try:
            response = self._pool.request(
                "POST",
                self._url + path,
                body=msgspec.json.encode(body),
                timeout=timeout,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            self._report(Error(CallFailed(type(error).__name__, was_sent=True)))
            return
        if response.status != 200:
            response.close()
            reason = f"status {response.status}"
            self._report(Error(CallFailed(reason, was_sent=True)))
            return
        self._report(Ok({}))
        try:
            yield from _read_lines(response)
        finally:
            response.close()

    def _admit(
        self, kind: CallKind, access: Literal["read", "write"], deadline_at_ms: float
    ) -> str:
        """Wait for a token; return why the call is not allowed, or ""."""
        while True:
            now_ms = self._clock.now_ms()
            with self._lock:
                if not self._breaker.allows(now_ms):
                    return "circuit open"
                self._budget.set_fleet_size(self._n_instances(), now_ms)
                wait_ms = self._budget.take(access, kind.urgency, now_ms)
                if wait_ms == 0.0:
                    self._breaker.on_start(now_ms)
                    return ""
            if now_ms + wait_ms > deadline_at_ms:
                return "over budget"
            self._telemetry.metrics.timing(KV_WAITS_MS, wait_ms, label=kind.name)
            self._clock.sleep_ms(wait_ms)

    def _send(
        self, path: str, body: dict, deadline_at_ms: float
    ) -> Result[dict, CallFailed]:
        remaining_ms = deadline_at_ms - self._clock.now_ms()
        timeout_s = max(0.001, min(self._timeout_ms, remaining_ms) / 1000.0)
        try:
            response = self._pool.request(
                "POST",
                self._url + path,
                body=msgspec.json.encode(body),
                timeout=urllib3.Timeout(total=timeout_s),
            )
        except _NOT_SENT_ERRORS as error:
            return Error(CallFailed(type(error).__name__, was_sent=False))
        except urllib3.exceptions.HTTPError as error:
            return Error(CallFailed(type(error).__name__, was_sent=True))
        if _is_lease_gone(path, response):
            return Error(CallFailed(LEASE_GONE, was_sent=True, is_refused=True))
        if response.status != 200:
            return Error(CallFailed(f"status {response.status}", was_sent=True))
        return decode_json(response.data, dict).map_error(
            lambda _: CallFailed("malformed answer", was_sent=True)
        )

    def _report(self, answer: Result[dict, CallFailed]) -> None:
        with self._lock:
            was_open = self._breaker.is_open
            if answer.is_ok() or answer.error.is_refused:
                self._breaker.on_success()
            else:
                self._breaker.on_failure(self._clock.now_ms(), self._rng)
            is_open = self._breaker.is_open
        if is_open and not was_open:
            self._telemetry.log(events.KV_DOWN, reason=answer.error.reason)
        if was_open and not is_open:
            self._telemetry.log(events.KV_BACK)


def _is_lease_gone(path: str, response: urllib3.BaseHTTPResponse) -> bool:
    if response.status != NOT_FOUND or path not in _PATHS_WITH_LEASES:
        return False
    refusal = decode_json(response.data, _Refusal)
    return refusal.is_ok() and refusal.ok.code == NOT_FOUND_CODE


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[dict]:
    buffer = b""
    try:
        for part in response.stream(65_536):
            *lines, buffer = (buffer + part).split(b"\n")
            yield from (msgspec.json.decode(line, type=dict) for line in lines if line)
    except (urllib3.exceptions.HTTPError, *UNDECODABLE):
        return
