"""Serves one admitted request: attempts, retries, response checks, stream relay."""

import asyncio
import enum
import functools
import math
from collections.abc import Callable
from typing import NamedTuple

import h11
from expression import Error, Ok, Result

from ..catalog.configuration import RouteKind
from ..catalog.upstreams import Upstream
from ..events import gateway as events
from ..scheduling.loads import UpstreamLoad
from ..scheduling.retry_budget import RetryBudget
from ..telemetry import Telemetry
from .account_quotas import AccountQuotas
from .client_connection import ClientConnection
from .crash_watch import CrashWatch, WatchedAttempt, crash_parts
from .dispatcher import Dispatcher, Reservation
from .errors import (
    AttemptFailure,
    ConnectionBrokenError,
    Interrupted,
    NotExecuted,
    NotReached,
    Withdrawn,
)
from .exchange_log import (
    Progress,
    log_attempt_failed,
    log_client_left,
    log_not_served,
    log_served,
)
from .fleet_state import FleetState
from .placement_records import (
    placement_salt,
    record_cached_parts,
    record_weights_version,
)
from .pool import ConnectionPool
from .ports import HeaderCodec, UpstreamRequestFields
from .requests import AdmittedRequest, Refusal, quarantine_refusal
from .stopping import NOT_FINISHED, NOT_SENT, Stopping
from .stream_relay import StreamRelay
from .upstream_connection import ResponseHead, UpstreamConnection

#: A request is refused after this many attempts that no upstream executed.
MAX_UNEXECUTED_ATTEMPTS = 4
#: A request is not sent again after this many crashes of engines that ran it.
MAX_CRASHES = 2
#: How long an upstream gets no new requests after it refused one.
BLOCK_AFTER_REFUSAL_MS = 120.0
#: How long an upstream gets no new requests after one of its responses timed out.
BLOCK_AFTER_TIMEOUT_MS = 300.0
#: Share of the remaining time that an attempt of a repeatable request may take while
#: another attempt is possible after it.
FIRST_ATTEMPT_SHARE = 0.5
#: Upper bound of that attempt's time, as a multiple of the route's latency objective.
FIRST_ATTEMPT_MAX_OBJECTIVES = 2.5
#: Time reserved for sending the response to the client. An attempt that may have run
#: is not repeated with no more time left than this.
RESPONSE_MARGIN_MS = 20.0
RETRY_AFTER_MS = 300.0
#: A digest is sent to peers at once for a prompt whose prefill takes at least this
#: long, instead of with the next period.
URGENT_PREFILL_MS = 40.0
#: Time limit for reading the body of an upstream's refusal.
REFUSAL_BODY_TIMEOUT_MS = 200.0


class NextStep(enum.Enum):
    """What to do after a failed attempt; the values are logged as ``decision``."""

    TRY_AGAIN = "try again"
    NOT_REPEATABLE = "give up: may not run twice"
    ATTEMPTS_USED = "give up: no attempt left"
    BUDGET_USED = "give up: the retry budget is used up"
    TIME_USED = "give up: no time left"
    CRASHES_ENGINES = "give up: engines crashed on it"


class ExchangeContext(NamedTuple):
    """Objects that all exchanges of a gateway share."""

    dispatcher: Dispatcher
    pool: ConnectionPool
    codec: HeaderCodec
    budget: RetryBudget
    n_instances: Callable[[], int]
    fleet_state: FleetState
    crash_watch: CrashWatch
    now_ms: Callable[[], float]
    telemetry: Telemetry
    stopping: Stopping
    quotas: AccountQuotas | None = None


class Exchange:
    """Serves one request with one or more attempts at upstreams."""

    def __init__(
        self,
        context: ExchangeContext,
        admitted: AdmittedRequest,
        client: ClientConnection,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._client = client
        self._relay = StreamRelay(
            client,
            admitted.request.fields.last_event_id,
            self._may_abandon_stream,
        )
        self._n_may_have_run = 0
        self._n_unexecuted = 0
        self._has_sent = False
        # Whether the upstream of the current attempt stated that it runs nothing.
        self._is_declined = False
        self._upstream_id = ""
        self._waited_ms = 0.0
        self._sent_at_ms = 0.0
        self._head_at_ms = 0.0
        self._excluded: frozenset[str] = frozenset()
        self._n_crashes = 0
        # Whether the last attempt broke off after this instance had paused reading its
        # response, so that the upstream isn't at fault.
        self._is_own_fault = False
        self._crash_parts = crash_parts(admitted.demand.prompt)
        self._used_connections: list[UpstreamConnection] = []
        self._upstream_failure: tuple[ResponseHead, bytearray] | None = None

    async def run(self) -> None:
        """Respond to the client within the deadline of the request."""
        service = self._admitted.demand.service.name
        self._context.budget.on_request(service, self._now_ms())
        limit_s = max(0.0, self._remaining_ms()) / 1000.0
        try:
            async with asyncio.timeout(limit_s) as limit:
                with self._context.stopping.limiting(limit):
                    await self._attempt_until_done()
        except TimeoutError:
            self._on_timeout()
        except asyncio.CancelledError:
            log_client_left(self._context.telemetry, self._admitted, self._progress())
            raise
        finally:
            self._refund_not_run()
            # The relay refers to the exchange. Without this, the request's body would
            # stay in memory until the garbage collector finds the cycle.
            del self._relay

    def _refund_not_run(self) -> None:
        """Refund the request's charge if provably no upstream ran it."""
        may_run = self._has_sent and not self._is_declined
        if may_run or self._n_may_have_run or self._admitted.charge is None:
            return
        self._context.quotas.refund(self._admitted.charge)

    def _on_timeout(self) -> None:
        stopping = self._context.stopping
        if not stopping.ends_early(self._admitted.ends_at_ms):
            self._fail("deadline", "no response before the deadline")
            return
        may_have_run = self._has_sent or self._n_may_have_run
        self._refuse(NOT_FINISHED if may_have_run else NOT_SENT)

    async def _attempt_until_done(self) -> None:
        stopping, ends_at_ms = self._context.stopping, self._admitted.ends_at_ms
        while True:
            if stopping.must_refuse(ends_at_ms, self._now_ms()):
                self._on_no_reservation(NOT_SENT)
                return
            if self._refuse_quarantined():
                return
            self._update_cache_scope()
            limited = self._admitted._replace(ends_at_ms=stopping.capped(ends_at_ms))
            reserved = await self._context.dispatcher.reserve(limited, self._excluded)
            if reserved.is_error():
                self._on_no_reservation(reserved.error)
                return
            reservation = reserved.ok
            if self._refuse_quarantined():
                # A part was quarantined while the request waited.
                reservation.release()
                return
            self._waited_ms = self._now_ms() - self._admitted.request.received_at_ms
            try:
                outcome = await self._attempt(reservation)
            finally:
                reservation.release()
            if outcome.is_ok():
                log_served(
                    self._context.telemetry,
                    self._admitted,
                    reservation.placement,
                    self._progress(),
                )
                return
            decision = self._decide_next(reservation, outcome.error)
            log_attempt_failed(
                self._context.telemetry,
                self._admitted,
                reservation.placement,
                outcome.error,
                decision.value,
            )
            if decision is not NextStep.TRY_AGAIN:
                self._give_up(outcome.error)
                return
            self._upstream_id = ""

    def _refuse_quarantined(self) -> bool:
        """Refuse the request if a part of its prompt crashes engines."""
        findings = self._context.fleet_state.crash_findings
        found = findings.find_quarantined(self._crash_parts)
        if found is None:
            return False
        self._refuse(quarantine_refusal(found))
        return True

    def _update_cache_scope(self) -> None:
        """Use the cache scope of the configuration that is in force now."""
        demand = self._admitted.demand._replace(
            cache_scope=self._cache_scope_in_force()
        )
        self._admitted = self._admitted._replace(demand=demand)

    def _cache_scope_in_force(self) -> str:
        return self._context.fleet_state.table.cache_scope(self._admitted.account)

    def _withdraw_reason(self, upstream: Upstream) -> str:
        """Return why the request may not be sent as it was placed, "" if it may."""
        if not self._context.dispatcher.may_send(upstream):
            return "the upstream leaves or wants quiet"
        if self._admitted.demand.cache_scope != self._cache_scope_in_force():
            return "the cache scope of the account has changed"
        return ""

    def _on_no_reservation(self, refusal: Refusal) -> None:
        if self._upstream_failure is not None and not self._client.has_sent_head:
            self._forward_failure(*self._upstream_failure)
            return
        self._refuse(refusal)

    async def _attempt(self, reservation: Reservation) -> Result[None, AttemptFailure]:
        upstream = reservation.placement.upstream
        self._upstream_id = upstream.upstream_id
        acquired = await self._context.pool.acquire(
            upstream,
            self._remaining_ms(),
            self._used_connections,
            self._admitted.request_id,
        )
        if acquired.is_error():
            return acquired
        self._upstream_load(reservation).on_connected()
        connection = acquired.ok
        withdrawn = self._withdraw_reason(upstream)
        if withdrawn:
            self._context.pool.put_back(upstream, connection)
            return Error(Withdrawn(withdrawn))
        self._used_connections.append(connection)
        record_cached_parts(
            self._context.fleet_state, self._admitted.demand, reservation.placement
        )
        if reservation.placement.work.prefill_ms >= URGENT_PREFILL_MS:
            self._context.fleet_state.publish_now()
        request = self._admitted.request
        watched = WatchedAttempt(
            self._admitted.request_id,
            upstream,
            self._crash_parts,
            is_repeat=self._n_crashes > 0,
        )
        headers = self._context.codec.encode_request(
            request.headers,
            self._upstream_request_fields(reservation),
            len(request.body),
        )
        self._has_sent, self._is_declined = True, False
        self._sent_at_ms = self._now_ms()
        self._is_own_fault = False
        self._context.crash_watch.begin(watched, connection.close)
        try:
            connection.send(request.method, request.target, headers, request.body)
            limit_s = self._attempt_limit_s()
            ends_at_s = asyncio.get_running_loop().time() + limit_s
            start_limit_s = min(limit_s, self._start_limit_s(reservation))
            async with asyncio.timeout(start_limit_s) as limit:
                head = await connection.read_head(self._admitted.request_id)
                self._head_at_ms = self._now_ms()
                self._context.fleet_state.on_notice(upstream, head.fields.notice)
                # The body of a refusal has a limit of its own, so that the attempt's
                # doesn't hide that the request did not run.
                is_limited = not (self._is_stream(head) or head.fields.is_not_executed)
                limit.reschedule(ends_at_s if is_limited else None)
                return await self._handle_response(
                    reservation, connection, head, watched
                )
        except ConnectionBrokenError as error:
            self._is_own_fault = connection.was_held_back
            if self._admitted.demand.prompt is not None and not self._is_own_fault:
                self._n_crashes += await self._context.crash_watch.on_broken(watched)
            return Error(Interrupted(str(error)))
        except h11.LocalProtocolError as error:
            return Error(NotReached(str(error)))
        except TimeoutError:
            self._context.dispatcher.block(upstream, BLOCK_AFTER_TIMEOUT_MS)
            return Error(Interrupted("the upstream did not respond in time"))
        finally:
            self._context.crash_watch.end(watched)
            self._context.pool.release(upstream, connection)

    async def _handle_response(
        self,
        reservation: Reservation,
        connection: UpstreamConnection,
        head: ResponseHead,
        watched: WatchedAttempt,
    ) -> Result[None, AttemptFailure]:
        upstream = reservation.placement.upstream
        if head.fields.load is not None:
            self._context.dispatcher.on_load_report(upstream, head.fields.load)
        if head.fields.is_not_executed:
            self._is_declined = True
            await self._drain_refusal(connection)
            record_weights_version(
                self._context.fleet_state,
                self._admitted.demand,
                reservation.placement,
                head.fields.weights_version,
            )
            return Error(NotExecuted(head.status))
        if head.fields.has_content_encoding or not head.fields.has_server_stamp:
            return Error(
                Interrupted(
                    "the response has no server stamp, or has a content encoding"
                )
            )
        if self._is_stream(head):
            await self._relay.run(
                connection,
                self._context.codec.encode_response(head.status, head.headers),
                functools.partial(self._on_event, reservation, watched),
                must_have_event=head.ends_with_connection,
            )
            self._report_end(head, watched)
            self._record_outcome(reservation, is_failure=False)
            return Ok(None)
        body = await connection.read_body(self._hold_body)
        if head.status == 200:
            self._report_end(head, watched)
        is_failure = head.status >= 500
        self._record_outcome(reservation, is_failure)
        if self._client.has_sent_head:
            return Error(Interrupted(f"status {head.status} for a resumed stream"))
        if is_failure and self._admitted.route.is_repeatable:
            self._upstream_failure = (head, body)
            return Error(Interrupted(f"status {head.status}"))
        self._send_response(head, body)
        return Ok(None)

    def _hold_body(self, n_bytes: int) -> None:
        """Account for a response's body, and for that of an earlier failure."""
        if self._upstream_failure is not None:
            n_bytes += len(self._upstream_failure[1])
        self._client.hold_response(n_bytes)

    def _on_event(self, reservation: Reservation, watched: WatchedAttempt) -> None:
        now_ms = self._now_ms()
        reservation.on_first_event(now_ms - self._sent_at_ms, now_ms)
        self._context.crash_watch.on_event(watched)

    def _report_end(self, head: ResponseHead, watched: WatchedAttempt) -> None:
        """Report a complete response to the crash watch."""
        if head.ends_with_connection:
            self._context.crash_watch.on_closed(watched)
        else:
            self._context.crash_watch.on_whole(watched)

    async def _drain_refusal(self, connection: UpstreamConnection) -> None:
        """Read the body of a refusal, so that the connection can be reused.

        The head already states that the request did not run, so an error here is
        logged and does not change the outcome of the attempt.
        """
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_MS / 1000.0):
                await connection.read_body()
        except (ConnectionBrokenError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            self._context.telemetry.log(
                events.REFUSAL_CUT,
                request_id=self._admitted.request_id,
                upstream_id=self._upstream_id,
                reason=reason,
            )

    def _is_stream(self, head: ResponseHead) -> bool:
        is_event_stream = head.status == 200 and head.fields.is_event_stream
        return self._admitted.route.kind is RouteKind.STREAM and is_event_stream

    def _send_response(self, head: ResponseHead, body: bytearray) -> None:
        headers = self._context.codec.encode_response(head.status, head.headers)
        self._client.send_response(head.status, headers, body)

    def _upstream_request_fields(
        self, reservation: Reservation
    ) -> UpstreamRequestFields:
        admitted, placement = self._admitted, reservation.placement
        prompt = admitted.demand.prompt
        account = admitted.account
        version = placement.weights_version
        kv_source = placement.kv_source
        if kv_source and not self._context.dispatcher.may_fetch_from(kv_source):
            kv_source = ""
        return UpstreamRequestFields(
            upstream=placement.upstream,
            remaining_ms=self._remaining_ms(),
            client_account=account.name if account else "",
            weights_version=version,
            priority_class=admitted.demand.priority_class if prompt else None,
            cache_salt=placement_salt(admitted.demand, placement),
            kv_source=kv_source,
            kv_target=placement.kv_target,
            last_event_id=self._relay.last_event_id,
        )

    def _decide_next(
        self, reservation: Reservation, failure: AttemptFailure
    ) -> NextStep:
        if isinstance(failure, Withdrawn):
            return NextStep.TRY_AGAIN
        upstream = reservation.placement.upstream
        now_ms = self._now_ms()
        self._excluded |= {upstream.upstream_id}
        self._has_sent = False
        if isinstance(failure, NotReached):
            self._n_unexecuted += 1
            self._upstream_load(reservation).on_connect_failure(now_ms)
            return self._next_after_unexecuted()
        if isinstance(failure, NotExecuted):
            self._n_unexecuted += 1
            self._context.dispatcher.block(upstream, BLOCK_AFTER_REFUSAL_MS)
            return self._apply_retry_budget(self._next_after_unexecuted(), now_ms)
        self._n_may_have_run += 1
        if not self._is_own_fault:
            is_failure = self._upstream_failure is None
            self._record_outcome(reservation, is_failure)
        if not self._admitted.route.is_repeatable:
            return NextStep.NOT_REPEATABLE
        if self._n_crashes >= MAX_CRASHES:
            return NextStep.CRASHES_ENGINES
        if self._n_may_have_run >= self._admitted.route.n_attempts:
            return NextStep.ATTEMPTS_USED
        if self._remaining_ms() <= RESPONSE_MARGIN_MS:
            return NextStep.TIME_USED
        return self._apply_retry_budget(NextStep.TRY_AGAIN, now_ms)

    def _next_after_unexecuted(self) -> NextStep:
        if self._n_unexecuted >= MAX_UNEXECUTED_ATTEMPTS:
            return NextStep.ATTEMPTS_USED
        return NextStep.TRY_AGAIN

    def _may_abandon_stream(self) -> bool:
        """Return whether a stalled stream could be resumed at another upstream."""
        if not self._has_another_attempt():
            return False
        tried = self._excluded | {self._upstream_id}
        if not self._context.dispatcher.has_usable(self._admitted.demand, tried):
            return False
        service = self._admitted.demand.service.name
        n_instances = self._context.n_instances()
        return self._context.budget.allows(service, n_instances, self._now_ms())

    def _apply_retry_budget(self, step: NextStep, now_ms: float) -> NextStep:
        if step is NextStep.TRY_AGAIN and not self._consume_retry_budget(now_ms):
            return NextStep.BUDGET_USED
        return step

    def _consume_retry_budget(self, now_ms: float) -> bool:
        service = self._admitted.demand.service.name
        return self._context.budget.take(service, self._context.n_instances(), now_ms)

    def _record_outcome(self, reservation: Reservation, is_failure: bool) -> None:
        self._upstream_load(reservation).on_outcome(is_failure, self._now_ms())

    def _upstream_load(self, reservation: Reservation) -> UpstreamLoad:
        return self._context.dispatcher.loads.of(
            reservation.placement.upstream.incarnation
        )

    def _give_up(self, failure: AttemptFailure) -> None:
        if self._client.has_sent_head:
            self._fail(failure.code, "the stream was interrupted")
            return
        if self._upstream_failure is None:
            self._fail(failure.code, "no upstream returned a complete response")
            return
        self._forward_failure(*self._upstream_failure)

    def _forward_failure(self, head: ResponseHead, body: bytearray) -> None:
        """Send an upstream's own error response to the client."""
        self._send_response(head, body)
        reason = "all attempts ended with an error response"
        self._log_not_served(Refusal(head.status, "upstream-failed", reason))

    def _fail(self, code: str, reason: str) -> None:
        """End without an upstream's response.

        Status 503 promises that the request did not run, so it is used only if no
        upstream may have run it.
        """
        if self._n_may_have_run == 0 and code != "deadline":
            self._refuse(Refusal(503, code, reason, self._retry_after_ms()))
            return
        self._refuse(Refusal(504 if code == "deadline" else 502, code, reason))

    def _retry_after_ms(self) -> float:
        """Return when the client may retry, not before an upstream takes requests."""
        service = self._admitted.demand.service.name
        quiet_ms = self._context.dispatcher.service_quiet_ms(service)
        if math.isinf(quiet_ms):
            return RETRY_AFTER_MS
        return max(RETRY_AFTER_MS, quiet_ms)

    def _refuse(self, refusal: Refusal) -> None:
        if self._client.has_sent_head:
            self._log_not_served(refusal._replace(status=0))
            self._client.abort()
            return
        if self._n_may_have_run and refusal.status == 503:
            # An earlier attempt may have run, which a 503 would deny.
            refusal = refusal._replace(status=502, retry_after_ms=None)
        self._log_not_served(refusal)
        self._client.refuse(refusal)

    def _log_not_served(self, refusal: Refusal) -> None:
        log_not_served(
            self._context.telemetry, self._admitted, refusal, self._progress()
        )

    def _attempt_limit_s(self) -> float:
        """Return the time limit of an attempt, for a stream of its response head."""
        remaining_ms = self._remaining_ms()
        if self._has_another_attempt():
            max_wait_ms = (
                self._admitted.route.objective_ms * FIRST_ATTEMPT_MAX_OBJECTIVES
            )
            remaining_ms = min(remaining_ms * FIRST_ATTEMPT_SHARE, max_wait_ms)
        return max(0.0, remaining_ms) / 1000.0

    def _start_limit_s(self, reservation: Reservation) -> float:
        """Return the time limit of the response head that an engine's weights set.

        A request that waits at an engine until its weights are too old is cancelled.
        """
        prompt = self._admitted.demand.prompt
        if prompt is None:
            return math.inf
        limit_ms = self._context.fleet_state.weights.may_start_for_ms(
            reservation.placement.upstream, prompt.model, self._now_ms()
        )
        return max(0.0, limit_ms) / 1000.0

    def _has_another_attempt(self) -> bool:
        """Return whether the request may be repeated after the current attempt."""
        route = self._admitted.route
        if self._context.stopping.ends_early(self._admitted.ends_at_ms):
            # Another attempt would begin too late to be finished.
            return False
        return route.is_repeatable and self._n_may_have_run + 1 < route.n_attempts

    def _remaining_ms(self) -> float:
        ends_at_ms = self._context.stopping.capped(self._admitted.ends_at_ms)
        return ends_at_ms - self._now_ms()

    def _now_ms(self) -> float:
        return self._context.now_ms()

    def _progress(self) -> Progress:
        received_at_ms = self._admitted.request.received_at_ms
        now_ms = self._now_ms()
        return Progress(
            upstream_id=self._upstream_id,
            waited_ms=self._waited_ms,
            first_event_ms=self._head_at_ms - received_at_ms,
            duration_ms=now_ms - received_at_ms,
            n_may_have_run=self._n_may_have_run,
            n_unexecuted=self._n_unexecuted,
            last_event_id=self._relay.last_event_id,
            digests_age_ms=self._context.dispatcher.loads.digests_age_ms(now_ms),
            configuration_version=self._context.fleet_state.configuration_version,
            store_age_ms=self._context.fleet_state.store_age_ms(),
        )
