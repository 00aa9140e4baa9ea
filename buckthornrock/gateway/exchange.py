"""Serves one admitted request: attempts, checks of answers, relayed streams."""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple

import h11
from expression import Error, Ok, Result

from ..catalog.configuration import RouteKind
from ..events import gateway as events
from ..scheduling.loads import UpstreamLoad
from ..scheduling.prefill import prompt_store_incarnation
from ..scheduling.prompt import cache_salt
from ..scheduling.retry_budget import RetryBudget
from ..telemetry import Telemetry
from ..wire.numeric_ids import part_number
from .client_connection import ClientConnection
from .dispatcher import Dispatcher, Ticket
from .errors import (
    AttemptFailure,
    ConnectionBrokenError,
    Interrupted,
    NotExecuted,
    NotReached,
)
from .exchange_log import (
    Progress,
    log_attempt_failed,
    log_left,
    log_not_served,
    log_served,
)
from .fleet_state import FleetState
from .pool import ConnectionPool
from .ports import HeaderCodec, UpstreamRequestFields
from .requests import AdmittedRequest, Refusal
from .stream_relay import StreamRelay
from .upstream_connection import ResponseHead, UpstreamConnection

#: Attempts that did not run, after which a request is refused.
MAX_UNEXECUTED = 4
#: An upstream that refused a request gets no new one for this time.
BLOCK_AFTER_REFUSAL_MS = 120.0
#: An upstream that gave no answer in time gets no new one for this time.
BLOCK_AFTER_SILENCE_MS = 300.0
#: Share of the time left that a repeatable request waits for its first upstream.
FIRST_ATTEMPT_SHARE = 0.5
#: Objectives of the route that it waits for at most.
FIRST_ATTEMPT_OBJECTIVES = 2.5
#: Part of the deadline that the answer's way to the client takes.
ANSWER_MARGIN_MS = 20.0
RETRY_AFTER_MS = 300.0
#: Peers learn at once of a prompt that takes an engine this long to read.
URGENT_READING_MS = 40.0
#: Time in which the body of a refusal must have come.
REFUSAL_BODY_LIMIT_MS = 200.0
#: Time after reading in which a store has taken the parts.
KEEPING_MS = 300.0


class NextStep(enum.Enum):
    """What is done after an attempt that failed."""

    TRY_AGAIN = "try again"
    NOT_REPEATABLE = "give up: may not run twice"
    ATTEMPTS_USED = "give up: no attempt left"
    BUDGET_USED = "give up: the retry budget is used up"
    TIME_USED = "give up: no time left"


class ExchangeContext(NamedTuple):
    """What all exchanges share."""

    dispatcher: Dispatcher
    pool: ConnectionPool
    codec: HeaderCodec
    budget: RetryBudget
    n_instances: Callable[[], int]
    fleet_state: FleetState
    now_ms: Callable[[], float]
    telemetry: Telemetry


class Exchange:
    """One request on its way through one or more upstreams."""

    def __init__(
        self,
        parts: ExchangeContext,
        admitted: AdmittedRequest,
        client: ClientConnection,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._client = client
        self._relay = StreamRelay(
            client,
            admitted.request.fields.last_event_id,
            admitted.route.is_resumable,
        )
        self._n_may_have_run = 0
        self._n_unexecuted = 0
        self._upstream_id = ""
        self._waited_ms = 0.0
        self._head_at_ms = 0.0
        self._excluded: frozenset[str] = frozenset()
        self._server_failure: tuple[ResponseHead, bytes] | None = None

    async def run(self) -> None:
        """Answer the client."""
        service = self._admitted.demand.service.name
        self._parts.budget.on_request(service, self._now_ms())
        limit_ms = self._admitted.ends_at_ms - self._now_ms()
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / 1000.0):
                await self._attempt_until_answered()
        except TimeoutError:
            self._fail("deadline", "no answer before the deadline")
        except asyncio.CancelledError:
            log_left(self._parts.telemetry, self._admitted, self._progress())
            raise

    async def _attempt_until_answered(self) -> None:
        while True:
            placed = await self._parts.dispatcher.place(self._admitted, self._excluded)
            if placed.is_error():
                self._on_no_place(placed.error)
                return
            ticket = placed.ok
            self._waited_ms = self._now_ms() - self._admitted.request.received_at_ms
            try:
                outcome = await self._attempt(ticket)
            finally:
                ticket.release()
            if outcome.is_ok():
                log_served(
                    self._parts.telemetry,
                    self._admitted,
                    ticket.placement,
                    self._progress(),
                )
                return
            decision = self._decide_next(ticket, outcome.error)
            log_attempt_failed(
                self._parts.telemetry,
                self._admitted,
                ticket.placement,
                outcome.error,
                decision.value,
            )
            if decision is not NextStep.TRY_AGAIN:
                self._give_up(outcome.error)
                return
            self._upstream_id = ""

    def _on_no_place(self, refusal: Refusal) -> None:
        if self._server_failure is not None and not self._client.has_started:
            self._pass_on_failure(*self._server_failure)
            return
        self._refuse(refusal)

    async def _attempt(self, ticket: Ticket) -> Result[None, AttemptFailure]:
        upstream = ticket.placement.upstream
        self._upstream_id = upstream.upstream_id
        taken = await self._parts.pool.acquire(upstream, self._left_ms())
        if taken.is_error():
            return taken
        self._load(ticket).on_connected()
        connection = taken.ok
        self._note_readings(ticket)
        if ticket.placement.work.prefill_ms >= URGENT_READING_MS:
            self._parts.fleet_state.publish_now()
        request = self._admitted.request
        headers = self._parts.codec.encode_request(
            request.headers, self._plan(ticket), len(request.body)
        )
        try:
            connection.send(request.method, request.target, headers, request.body)
            async with asyncio.timeout(self._attempt_limit_s()) as limit:
                head = await connection.read_head(self._admitted.request_id)
                self._head_at_ms = self._now_ms()
                if self._is_stream(head):
                    limit.reschedule(None)
                return await self._take_answer(ticket, connection, head)
        except ConnectionBrokenError as error:
            return Error(Interrupted(str(error)))
        except h11.LocalProtocolError as error:
            return Error(NotReached(str(error)))
        except TimeoutError:
            self._parts.dispatcher.block(upstream, BLOCK_AFTER_SILENCE_MS)
            return Error(Interrupted("no answer from the upstream"))
        finally:
            self._parts.pool.release(upstream, connection)

    async def _take_answer(
        self, ticket: Ticket, connection: UpstreamConnection, head: ResponseHead
    ) -> Result[None, AttemptFailure]:
        upstream = ticket.placement.upstream
        if head.fields.load is not None:
            self._parts.dispatcher.report(upstream, head.fields.load)
        if head.fields.is_not_executed:
            await self._read_refusal(connection)
            self._note_version(ticket, head)
            return Error(NotExecuted(head.status))
        if head.fields.has_content_encoding or not head.fields.has_server_stamp:
            return Error(Interrupted("the answer is not the upstream's own"))
        if self._is_stream(head):
            await self._relay.run(
                connection, self._parts.codec.encode_response(head.headers), ticket
            )
            self._count(ticket, is_failure=False)
            return Ok(None)
        body = await connection.read_body()
        is_failure = head.status >= 500
        self._count(ticket, is_failure)
        if self._client.has_started:
            return Error(Interrupted(f"status {head.status} for a resumed stream"))
        if is_failure and self._admitted.route.is_repeatable:
            self._server_failure = (head, body)
            return Error(Interrupted(f"status {head.status}"))
        self._send_whole(head, body)
        return Ok(None)

    async def _read_refusal(self, connection: UpstreamConnection) -> None:
        """Read what follows the head of a refusal, so that the connection is kept.

        The head has said that the request didn't run; what follows changes nothing.
        """
        try:
            async with asyncio.timeout(REFUSAL_BODY_LIMIT_MS / 1000.0):
                await connection.read_body()
        except (ConnectionBrokenError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            self._parts.telemetry.log(
                events.REFUSAL_CUT,
                request_id=self._admitted.request_id,
                upstream_id=self._upstream_id,
                reason=reason,
            )

    def _is_stream(self, head: ResponseHead) -> bool:
        return self._admitted.route.kind is RouteKind.STREAM and head.status == 200

    def _send_whole(self, head: ResponseHead, body: bytes) -> None:
        headers = self._parts.codec.encode_response(head.headers)
        self._client.send_whole(head.status, headers, body)

    def _plan(self, ticket: Ticket) -> UpstreamRequestFields:
        admitted, placement = self._admitted, ticket.placement
        prompt = admitted.demand.prompt
        account = admitted.account
        version = placement.weights_version
        return UpstreamRequestFields(
            upstream=placement.upstream,
            remaining_ms=self._left_ms(),
            client_account=account.name if account else "",
            weights_version=version,
            priority_class=admitted.demand.priority_class if prompt else None,
            cache_salt=self._salt(ticket),
            kv_source=placement.kv_source,
            kv_target=placement.kv_target,
            last_event_id=self._relay.last_event_id,
        )

    def _salt(self, ticket: Ticket) -> str:
        demand = self._admitted.demand
        if demand.prompt is None:
            return ""
        version = ticket.placement.weights_version
        return cache_salt(demand.cache_scope, demand.prompt.model, version)

    def _note_readings(self, ticket: Ticket) -> None:
        """Tell where the prompt's shared parts will be from now on."""
        prompt = self._admitted.demand.prompt
        if prompt is None:
            return
        placement, salt = ticket.placement, self._salt(ticket)
        places = [(placement.upstream.incarnation, placement.estimate_ms)]
        if placement.kv_target:
            stores = self._parts.fleet_state.view().prompt_stores
            ready_in_ms = placement.estimate_ms + KEEPING_MS
            places += [
                (prompt_store_incarnation(store), ready_in_ms)
                for store in stores
                if store.address == placement.kv_target
            ]
        for incarnation, ready_in_ms in places:
            for part in prompt.shared:
                key = part_number(salt, part.part_id)
                self._parts.fleet_state.on_part_cached(
                    incarnation, key, part.n_tokens, ready_in_ms
                )

    def _note_version(self, ticket: Ticket, head: ResponseHead) -> None:
        """Learn from a refusal which weights the upstream has by now."""
        prompt = self._admitted.demand.prompt
        if prompt is None or head.fields.weights_version is None:
            return
        self._parts.fleet_state.on_loaded(
            ticket.placement.upstream, prompt.model, head.fields.weights_version
        )

    def _decide_next(self, ticket: Ticket, failure: AttemptFailure) -> NextStep:
        upstream = ticket.placement.upstream
        now_ms = self._now_ms()
        self._excluded |= {upstream.upstream_id}
        if isinstance(failure, NotReached):
            self._n_unexecuted += 1
            self._load(ticket).on_connect_failure(now_ms)
            return self._after_unexecuted()
        if isinstance(failure, NotExecuted):
            self._n_unexecuted += 1
            self._parts.dispatcher.block(upstream, BLOCK_AFTER_REFUSAL_MS)
            return self._within_budget(self._after_unexecuted(), now_ms)
        self._n_may_have_run += 1
        self._count(ticket, is_failure=self._server_failure is None)
        if not self._admitted.route.is_repeatable:
            return NextStep.NOT_REPEATABLE
        if self._n_may_have_run >= self._admitted.route.n_attempts:
            return NextStep.ATTEMPTS_USED
        if self._left_ms() <= ANSWER_MARGIN_MS:
            return NextStep.TIME_USED
        return self._within_budget(NextStep.TRY_AGAIN, now_ms)

    def _after_unexecuted(self) -> NextStep:
        if self._n_unexecuted >= MAX_UNEXECUTED:
            return NextStep.ATTEMPTS_USED
        return NextStep.TRY_AGAIN

    def _within_budget(self, step: NextStep, now_ms: float) -> NextStep:
        if step is NextStep.TRY_AGAIN and not self._take_budget(now_ms):
            return NextStep.BUDGET_USED
        return step

    def _take_budget(self, now_ms: float) -> bool:
        service = self._admitted.demand.service.name
        return self._parts.budget.take(service, self._parts.n_instances(), now_ms)

    def _count(self, ticket: Ticket, is_failure: bool) -> None:
        self._load(ticket).on_outcome(is_failure, self._now_ms())

    def _load(self, ticket: Ticket) -> UpstreamLoad:
        return self._parts.dispatcher.loads.of(ticket.placement.upstream.incarnation)

    def _give_up(self, failure: AttemptFailure) -> None:
        if self._client.has_started:
            self._fail(failure.code, "the stream broke off")
            return
        if self._server_failure is None:
            self._fail(failure.code, "no upstream gave a whole answer")
            return
        self._pass_on_failure(*self._server_failure)

    def _pass_on_failure(self, head: ResponseHead, body: bytes) -> None:
        """Give the client an upstream's own failure."""
        self._send_whole(head, body)
        reason = "each upstream answered with a failure"
        self._log_not_served(Refusal(head.status, "upstream-failed", reason))

    def _fail(self, code: str, reason: str) -> None:
        """End without an upstream's answer, saying no more than is known."""
        if self._n_may_have_run == 0 and code != "deadline":
            self._refuse(Refusal(503, code, reason, RETRY_AFTER_MS))
            return
        self._refuse(Refusal(504 if code == "deadline" else 502, code, reason))

    def _refuse(self, refusal: Refusal) -> None:
        if self._client.has_started:
            self._log_not_served(refusal._replace(status=0))
            self._client.break_off()
            return
        if self._n_may_have_run and refusal.status == 503:
            refusal = refusal._replace(status=502, retry_after_ms=None)
        self._log_not_served(refusal)
        self._client.refuse(refusal)

    def _log_not_served(self, refusal: Refusal) -> None:
        log_not_served(self._parts.telemetry, self._admitted, refusal, self._progress())

    def _attempt_limit_s(self) -> float:
        """Return how long to wait for an answer, or for a stream's head."""
        left_ms = self._left_ms()
        has_more = self._n_may_have_run + 1 < self._admitted.route.n_attempts
        if self._admitted.route.is_repeatable and has_more:
            patience_ms = self._admitted.route.objective_ms * FIRST_ATTEMPT_OBJECTIVES
            left_ms = min(left_ms * FIRST_ATTEMPT_SHARE, patience_ms)
        return max(0.0, left_ms) / 1000.0

    def _left_ms(self) -> float:
        return self._admitted.ends_at_ms - self._now_ms()

    def _now_ms(self) -> float:
        return self._parts.now_ms()

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
            digests_age_ms=self._parts.dispatcher.loads.digests_age_ms(now_ms),
            configuration_version=self._parts.fleet_state.configuration_version,
            store_age_ms=self._parts.fleet_state.store_age_ms(),
        )
