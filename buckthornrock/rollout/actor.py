"""Actor that holds the rollout lease and sends the orders to load weights."""

import threading
import time
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

import pykka
from expression import Result

from ..catalog.upstreams import Incarnation, Upstream
from ..events import rollout as events
from ..events.lifecycle import STEP_FAILED
from ..runtime.decoding import MAX_REASON_CHARS
from ..scheduling.weights import WantedWeights
from ..store.kv_port import payload
from ..telemetry import Telemetry
from .plan import Order, PendingOrder, plan_orders
from .port import (
    EnginePort,
    EngineReport,
    EngineUnanswered,
    FencingToken,
    RolloutCallbacks,
    RolloutInputs,
)
from .rollout_lease import RolloutLease
from .wanted_record import RECORD_PREFIX, decode_record, encode_record, merge_ages

STEP_PERIOD_MS = 200.0
#: Candidates without the lease try to take it this often while engines are outdated.
CANDIDATE_PERIOD_MS = 1_000.0
#: Poll interval for the report of an engine that loads weights.
REPORT_PERIOD_MS = 400.0
#: An engine that was ordered to load gets no new work for this time, unless a report
#: comes earlier.
EXPECTED_LOAD_MS = 3_000.0
#: An engine that gave no report is asked again only after this time.
SET_ASIDE_MS = 500.0
#: A record of wanted versions that may not have been written is written again then.
RECORD_RETRY_MS = 1_000.0
#: A change of the wall clock against the monotonic one that counts as a step. Smaller
#: ones are within the margins of the bound on replaced weights.
CLOCK_STEP_MS = 200.0
#: Sent records of a model that are remembered, of which some may not have been written.
N_SENT_RECORDS = 8


class SentRecord(NamedTuple):
    """A record that this instance sent to the store, with the newest version in it.

    ``clock_offset_ms`` is the wall clock less the monotonic one at that time.
    """

    version: int
    value: bytes
    clock_offset_ms: float


class RolloutActor(pykka.ThreadingActor):
    """Runs the rollout periodically; its calls block only this actor's thread.

    Without the lease it rests while ``is_candidate`` is clear.
    """

    use_daemon_thread = True

    def __init__(
        self,
        lease: RolloutLease,
        engines: EnginePort,
        read_inputs: Callable[[], RolloutInputs],
        callbacks: RolloutCallbacks,
        instance_id: str,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
        is_candidate: threading.Event,
        wall_ms: Callable[[], int],
    ) -> None:
        super().__init__()
        self._is_candidate = is_candidate
        self._lease = lease
        self._engines = engines
        self._read_inputs = read_inputs
        self._callbacks = callbacks
        self._instance_id = instance_id
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._pending: dict[Incarnation, PendingOrder] = {}
        self._polled_at_ms: dict[Incarnation, float] = {}
        self._silent_until_ms: dict[Incarnation, float] = {}
        self._wall_ms = wall_ms
        self._written: dict[str, SentRecord] = {}
        self._sent: dict[str, deque[SentRecord]] = defaultdict(
            lambda: deque(maxlen=N_SENT_RECORDS)
        )
        self._record_at_ms = 0.0
        self._next_acquire_at_ms = 0.0
        self._is_stopping = False
        self._was_lease_held = False

    def on_start(self) -> None:
        """Schedule the first step."""
        self.actor_ref.tell("step")

    def on_receive(self, message: str) -> None:
        """Run one step, or release the lease and stop."""
        if message == "stop":
            self._is_stopping = True
            self._try(self._lease.release)
            return
        if not self._lease.is_held():
            self._is_candidate.wait()
        if self._is_stopping:
            return
        self._try(self._step)
        time.sleep(STEP_PERIOD_MS / 1000.0)
        self.actor_ref.tell(message)

    def _try(self, step: Callable[[], None]) -> None:
        """Run a step and log its failure, which would otherwise end the actor."""
        try:
            step()
        except Exception as error:
            self._telemetry.log(
                STEP_FAILED,
                actor="RolloutActor",
                error_type=type(error).__name__,
                reason=str(error)[:MAX_REASON_CHARS],
            )

    def _step(self) -> None:
        inputs = self._read_inputs()
        self._forget_removed(inputs)
        self._maintain_lease(inputs)
        # Before the orders: a holder that waits for its turn may be lost meanwhile.
        self._record_wanted(inputs)
        if not self._lease.may_act():
            return
        for model, version in inputs.wanted.items():
            self._roll_out(model, version, inputs)

    def _record_wanted(self, inputs: RolloutInputs) -> None:
        """Write to the store since when the versions are wanted, once a version.

        A record is written again when the wall clock that it was written by has
        stepped: an instance that starts afterwards would get wrong ages from it.
        """
        if not self._lease.is_held() or self._now_ms() < self._record_at_ms:
            return
        clock_offset_ms = self._wall_ms() - self._now_ms()
        for model, wanted in inputs.wanted_since.items():
            written = self._written.get(model)
            if _is_up_to_date(written, wanted[-1].version, clock_offset_ms):
                continue
            if not self._write_record(model, wanted, clock_offset_ms):
                self._record_at_ms = self._now_ms() + RECORD_RETRY_MS

    def _write_record(
        self, model: str, wanted: Sequence[WantedWeights], clock_offset_ms: float
    ) -> bool:
        """Write the record of one model; return whether it was certainly written."""
        entry = self._lease.get(RECORD_PREFIX + model)
        if entry.is_error():
            return False
        now_ms = self._now_ms()
        ages_ms = [(w.version, int(now_ms - w.known_at_ms)) for w in wanted]
        if entry.ok is not None:
            value = payload(entry.ok)
            wall_ms = now_ms + self._offset_of_writer(model, value, clock_offset_ms)
            recorded = decode_record(value, int(wall_ms))
            ages_ms = merge_ages(ages_ms, recorded.default_value([]))
        value = encode_record(ages_ms, int(now_ms + clock_offset_ms))
        record = SentRecord(wanted[-1].version, value, clock_offset_ms)
        self._sent[model].append(record)
        if not self._lease.put(RECORD_PREFIX + model, value):
            return False
        self._written[model] = record
        return True

    def _offset_of_writer(
        self, model: str, value: bytes, clock_offset_ms: float
    ) -> float:
        """Return the clock offset by which a record was written.

        It is ``clock_offset_ms``, the current one, for another instance's record.
        """
        own = [sent for sent in self._sent[model] if sent.value == value]
        return own[-1].clock_offset_ms if own else clock_offset_ms

    def _forget_removed(self, inputs: RolloutInputs) -> None:
        known = {
            engine.upstream.incarnation
            for engines in inputs.engines.values()
            for engine in engines
        }
        for state in (self._pending, self._polled_at_ms, self._silent_until_ms):
            for incarnation in state.keys() - known:
                del state[incarnation]

    def _maintain_lease(self, inputs: RolloutInputs) -> None:
        """Renew the lease, or try to take it if any engine is outdated."""
        if not self._lease.is_held():
            if (
                not _is_any_outdated(inputs)
                or self._now_ms() < self._next_acquire_at_ms
            ):
                return
            self._next_acquire_at_ms = self._now_ms() + CANDIDATE_PERIOD_MS
        self._lease.step()
        if self._lease.is_held() != self._was_lease_held:
            self._was_lease_held = not self._was_lease_held
            # Another holder may write the records until this one holds the lease again.
            self._written.clear()
            event = events.DUTY_TAKEN if self._was_lease_held else events.DUTY_LOST
            self._telemetry.log(event, fence=self._lease.fence)

    def _roll_out(self, model: str, version: int, inputs: RolloutInputs) -> None:
        engines = inputs.engines.get(model, [])
        for engine in engines:
            if engine.loaded_version >= version:
                self._pending.pop(engine.upstream.incarnation, None)
            elif engine.upstream.incarnation in self._pending:
                self._poll_progress(engine.upstream, model)
        now_ms = self._now_ms()
        for order in plan_orders(
            model, version, engines, self._pending, now_ms, set(self._silent_until_ms)
        ):
            if self._lease.may_act():
                self._send_order(order)

    def _poll_progress(self, upstream: Upstream, model: str) -> None:
        """Poll an engine with a pending order for its progress."""
        now_ms = self._now_ms()
        if (
            now_ms - self._polled_at_ms.get(upstream.incarnation, 0.0)
            < REPORT_PERIOD_MS
        ):
            return
        if self._is_set_aside(upstream):
            return
        self._polled_at_ms[upstream.incarnation] = now_ms
        report = self._report(upstream)
        if report.is_error():
            return
        pending = self._pending[upstream.incarnation]
        if report.ok.is_busy:
            self._callbacks.on_loading(
                upstream, model, pending.version, REPORT_PERIOD_MS * 2.5
            )
            return
        loaded = report.ok.versions.get(model, 0)
        if loaded >= pending.version:
            del self._pending[upstream.incarnation]
            self._callbacks.on_loaded(upstream, model, loaded)

    def _report(self, upstream: Upstream) -> Result[EngineReport, EngineUnanswered]:
        report = self._engines.report(upstream)
        if report.is_ok():
            self._silent_until_ms.pop(upstream.incarnation, None)
            return report
        until_ms = self._now_ms() + SET_ASIDE_MS
        self._silent_until_ms[upstream.incarnation] = until_ms
        self._telemetry.log(
            events.ENGINE_SET_ASIDE,
            upstream_id=upstream.upstream_id,
            reason=report.error.reason,
            duration_ms=SET_ASIDE_MS,
        )
        return report

    def _is_set_aside(self, upstream: Upstream) -> bool:
        until_ms = self._silent_until_ms.get(upstream.incarnation, 0.0)
        return self._now_ms() < until_ms

    def _send_order(self, order: Order) -> None:
        upstream = order.upstream
        if self._is_set_aside(upstream):
            return
        report = self._report(upstream)
        if report.is_error() or report.ok.is_busy:
            return
        loaded = report.ok.versions.get(order.model, 0)
        if loaded >= order.version:
            self._callbacks.on_loaded(upstream, order.model, loaded)
            return
        if not self._lease.may_act():
            return
        fencing = FencingToken(self._instance_id, self._lease.fence, report.ok.n_orders)
        self._callbacks.on_loading(
            upstream, order.model, order.version, EXPECTED_LOAD_MS
        )
        # The lease is checked last before the order is sent, because this process may
        # have been paused until here for longer than the lease lasts.
        if not self._lease.may_act():
            return
        sent_at_ms = self._now_ms()
        answer = self._engines.order(order, fencing)
        is_accepted = answer.is_ok() and answer.ok.is_accepted
        self._polled_at_ms[upstream.incarnation] = sent_at_ms + EXPECTED_LOAD_MS * 0.5
        self._pending[upstream.incarnation] = PendingOrder(
            order.version, sent_at_ms, is_accepted
        )
        if not is_accepted:
            self._polled_at_ms[upstream.incarnation] = sent_at_ms
        self._telemetry.log(
            events.ORDER_SENT,
            upstream_id=upstream.upstream_id,
            model=order.model,
            version=order.version,
            loaded_version=loaded,
            fence=fencing.fence,
            n_orders=fencing.n_orders,
            outcome=str(answer.ok.status) if answer.is_ok() else answer.error.reason,
        )


def _is_up_to_date(
    written: SentRecord | None, version: int, clock_offset_ms: float
) -> bool:
    """Return whether a record has the newest version, by the clock as it is now."""
    if written is None or written.version != version:
        return False
    return abs(written.clock_offset_ms - clock_offset_ms) < CLOCK_STEP_MS


def _is_any_outdated(inputs: RolloutInputs) -> bool:
    return any(
        engine.loaded_version < version
        for model, version in inputs.wanted.items()
        for engine in inputs.engines.get(model, [])
    )
