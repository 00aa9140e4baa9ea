"""Control loop that brings engines to the state that the placement asks for.

Each step visits every engine that this instance leads or should lead. Everything that
may be slow or fail is passed in; the decisions are pure functions in
:mod:`.leadership`, :mod:`.reconciler` and :mod:`.load_slots`.
"""

import threading
from collections.abc import Sequence

from ..conf.settings import UpstreamSettings
from ..events import fleet as events
from ..store import (
    CommitConflict,
    CommitDone,
    CommitUnknown,
    Compare,
    Delete,
    KvEntry,
    Put,
    Transaction,
)
from ..telemetry.metrics import ORDERS
from ..upstreams.order_client import OrderOutdated
from ..upstreams.order_messages import EngineOrder, EngineOrderState
from . import load_slots
from .controller_state import (
    ControllerParts,
    EngineState,
    LeadershipView,
    Slot,
    UnresolvedSlot,
)
from .leadership import (
    FREE,
    Leadership,
    LeadershipRules,
    is_preferred_leader,
    leader_key,
    margin_ms,
    may_order_from_ms,
    should_hand_over,
    with_preference,
)
from .placement_document import wanted_for
from .reconciler import (
    LoadInProgress,
    NoOrder,
    WantedOrder,
    may_load,
    next_order,
)

#: A random wait between two reads of the load slots, so that waiting instances don't
#: all read at the same time.
MIN_SLOT_READ_WAIT_MS = 200.0
MAX_SLOT_READ_WAIT_MS = 1_000.0
CLOSE_STEP_MS = 200.0


class EngineController:
    """Leads engines on behalf of this instance and sends them orders.

    Parameters
    ----------
    engines : tuple of UpstreamSettings
        All engines of the fleet.
    rules : LeadershipRules
        Times that keep two leaders from sending orders at once.
    n_slots : int
        Number of engines of the fleet that may load at once.
    """

    def __init__(
        self,
        engines: Sequence[UpstreamSettings],
        rules: LeadershipRules,
        n_slots: int,
        parts: ControllerParts,
    ) -> None:
        self._engines = [EngineState(settings) for settings in engines]
        self._rules = rules
        self._n_slots = n_slots
        self._parts = parts
        self._step_lock = threading.Lock()
        self._live_ids: tuple[str, ...] = ()
        self._is_draining = False

    def step(self) -> None:
        """Reconcile every engine once."""
        with self._step_lock:
            self._update_preferred(self._parts.live_ids())
            for engine in self._engines:
                self._step_engine(engine)

    def drain(self) -> None:
        """Acquire no further leadership and start no further load."""
        self._is_draining = True

    def close(self) -> None:
        """Wait for loads in progress, then give up every leadership."""
        self.drain()
        deadline_at_ms = self._parts.now_ms() + self._rules.load_time_ms
        while self._has_slot() and self._parts.now_ms() < deadline_at_ms:
            self.step()
            self._parts.sleep_ms(CLOSE_STEP_MS)
        with self._step_lock:
            for engine in self._engines:
                if engine.leadership is not None:
                    self._hand_back(engine)

    def _has_slot(self) -> bool:
        return any(engine.slot is not None for engine in self._engines)

    def views(self) -> list[LeadershipView]:
        """Return the last order and decision for each engine that is led here."""
        held = [(e, e.leadership) for e in self._engines]
        return [
            LeadershipView(e.settings.id, leadership.fencing, e.last_order, e.reason)
            for e, leadership in held
            if leadership is not None
        ]

    def _update_preferred(self, live_ids: tuple[str, ...]) -> None:
        """Update for which engines this instance is the preferred leader.

        This happens only when the live instances change: ranking every instance for
        every engine at every step would cost the product of both numbers.
        """
        if live_ids == self._live_ids:
            return
        self._live_ids = live_ids
        own_id = self._parts.instance_id
        for engine in self._engines:
            upstream_id = engine.settings.id
            engine.is_preferred = is_preferred_leader(upstream_id, own_id, live_ids)

    def _step_engine(self, engine: EngineState) -> None:
        parts = self._parts
        is_preferred = engine.is_preferred
        self._drop_expired(engine)
        self._resolve_slot(engine)
        if engine.handing_back is not None:
            self._finish_hand_back(engine)
            return
        if engine.leadership is None:
            self._release_overdue_slot(engine)
            if is_preferred and not self._is_draining:
                self._acquire(engine)
            return
        now_ms = parts.now_ms()
        engine.leadership = with_preference(engine.leadership, is_preferred, now_ms)
        if engine.slot is None and should_hand_over(engine.leadership, now_ms):
            self._hand_back(engine)
            return
        engine.reason = self._reconcile(engine)

    def _drop_expired(self, engine: EngineState) -> None:
        lease = self._parts.lease
        epoch = lease.epoch() if lease.holds(self._parts.now_ms(), 0.0) else None
        if engine.leadership is not None and engine.leadership.epoch != epoch:
            engine.leadership = None
            self._log_lost(engine, "lease lost")
        # Whatever is bound to a lost lease is gone with it.
        for name in ("handing_back", "slot", "unresolved_slot"):
            held = getattr(engine, name)
            if held is not None and held.epoch != epoch:
                setattr(engine, name, None)

    def _acquire(self, engine: EngineState) -> None:
        parts = self._parts
        # The epoch is read before the lease id: if a lease is granted in between, the
        # leadership is taken for lost, which is safe, and never for held too long.
        epoch, lease_id = parts.lease.epoch(), parts.lease.lease_id()
        if not lease_id or not parts.lease.holds(parts.now_ms(), 0.0):
            return
        key = leader_key(engine.settings.id)
        put = Put(key, parts.instance_id.encode(), lease_id)
        compare = Compare(key, engine.free_revision)
        outcome = parts.kv.commit(Transaction((compare,), (put,)))
        revision = 0
        if isinstance(outcome, CommitDone):
            revision = outcome.revision
        if isinstance(outcome, CommitConflict):
            entry = next(iter(outcome.entries), None)
            engine.free_revision = _free_revision(entry)
            # The key may come from an earlier write of this instance whose answer was
            # lost.
            is_own = entry is not None and entry.lease_id == lease_id
            revision = entry.mod_revision if is_own else 0
        if not revision:
            return
        engine.leadership = Leadership(
            engine.settings.id, revision, revision, epoch, parts.now_ms()
        )
        parts.telemetry.log(
            events.STEWARD_GAINED, upstream_id=engine.settings.id, fencing=revision
        )

    def _hand_back(self, engine: EngineState) -> None:
        """Stop sending orders, and free the key for the next leader."""
        engine.handing_back, engine.leadership = engine.leadership, None
        self._log_lost(engine, "handed back")
        self._finish_hand_back(engine)

    def _finish_hand_back(self, engine: EngineState) -> None:
        # A key that is left bound to a renewed lease would keep other instances out
        # for as long as this one runs, so this is retried until the outcome is known.
        key = leader_key(engine.settings.id)
        compare = Compare(key, engine.handing_back.key_revision)
        transaction = Transaction((compare,), (Put(key, FREE),))
        outcome = self._parts.kv.commit(transaction)
        if isinstance(outcome, CommitDone | CommitConflict):
            engine.handing_back = None

    def _reconcile(self, engine: EngineState) -> str:
        """Take one step towards the desired state; return the reason for it."""
        settings = engine.settings
        record = self._parts.placements.current()
        wanted = wanted_for(record.placement, settings.id, settings.failure_domain)
        if wanted is None and engine.slot is None:
            return "the placement does not name it"
        state = self._parts.client.read(settings.id, settings.address)
        if state.is_error():
            self._release_overdue_slot(engine)
            return f"not reachable: {state.error.reason}"
        step = next_order(wanted, state.ok)
        is_load = isinstance(step, WantedOrder) and step.kind == "load"
        if not state.ok.loading and not is_load:
            self._release_slot(engine)
        if isinstance(step, NoOrder):
            return step.reason
        waiting = self._reason_to_wait(engine, step, state.ok)
        if waiting is not None:
            return waiting.reason
        return self._send(engine, step)

    def _reason_to_wait(
        self, engine: EngineState, order: WantedOrder, state: EngineOrderState
    ) -> NoOrder | None:
        """Return why the order must wait, or None; acquire a slot if it needs one."""
        checks_fencing = engine.settings.checks_fencing
        from_ms = may_order_from_ms(engine.leadership, checks_fencing, self._rules)
        if self._parts.now_ms() < from_ms:
            return NoOrder(
                "waiting until the previous leader can no longer send orders"
            )
        if order.kind != "load":
            return None
        if engine.slot is not None and _is_slot_for(engine.slot, state):
            return None
        self._release_slot(engine)
        if self._is_draining:
            return NoOrder("this instance is stopping")
        return self._acquire_slot(engine, state)

    def _acquire_slot(
        self, engine: EngineState, state: EngineOrderState
    ) -> NoOrder | None:
        parts = self._parts
        if engine.unresolved_slot is not None:
            return NoOrder("it is unknown whether a load slot was acquired")
        if not self._is_slot_read_due(engine):
            return NoOrder("waiting for a load slot")
        entries = parts.kv.get_prefix(load_slots.KEY_PREFIX)
        if entries.is_error():
            return NoOrder("the load slots could not be read")
        waiting = self._may_load(engine, state, load_slots.decode_loads(entries.ok))
        if waiting is not None:
            return waiting
        epoch, lease_id = parts.lease.epoch(), parts.lease.lease_id()
        record = load_slots.SlotRecord(
            parts.instance_id,
            engine.settings.id,
            engine.settings.failure_domain,
            bool(state.models),
        )
        transaction = load_slots.acquire_transaction(
            record, entries.ok, self._n_slots, lease_id
        )
        if transaction is None or not lease_id:
            return NoOrder("waiting for a load slot")
        outcome = parts.kv.commit(transaction)
        if isinstance(outcome, CommitUnknown):
            until_ms = parts.now_ms() + self._rules.lease_ttl_ms
            engine.unresolved_slot = UnresolvedSlot(epoch, lease_id, until_ms)
        if not isinstance(outcome, CommitDone):
            return NoOrder("waiting for a load slot")
        key = transaction.writes[0].key
        engine.slot = Slot(key, outcome.revision, epoch, parts.now_ms(), record.is_roll)
        return None

    def _is_slot_read_due(self, engine: EngineState) -> bool:
        now_ms = self._parts.now_ms()
        if now_ms < engine.next_slot_read_at_ms:
            return False
        wait_ms = self._parts.rng.uniform(MIN_SLOT_READ_WAIT_MS, MAX_SLOT_READ_WAIT_MS)
        engine.next_slot_read_at_ms = now_ms + wait_ms
        return True

    def _resolve_slot(self, engine: EngineState) -> None:
        """Find out whether a write whose answer was lost has acquired a slot.

        A slot that its holder does not know of would be lost to the fleet for as long
        as this instance renews its lease.
        """
        doubt = engine.unresolved_slot
        if doubt is None or not self._is_slot_read_due(engine):
            return
        entries = self._parts.kv.get_prefix(load_slots.KEY_PREFIX)
        if entries.is_error():
            return
        now_ms = self._parts.now_ms()
        found = load_slots.find_held_slot(
            entries.ok, engine.settings.id, doubt.lease_id
        )
        if found is not None:
            key, mod_revision, is_roll = found
            engine.slot = Slot(key, mod_revision, doubt.epoch, now_ms, is_roll)
        if found is not None or now_ms >= doubt.until_ms:
            engine.unresolved_slot = None

    def _may_load(
        self,
        engine: EngineState,
        state: EngineOrderState,
        in_progress: list[LoadInProgress],
    ) -> NoOrder | None:
        placement = self._parts.placements.current().placement
        return may_load(
            engine.settings.id,
            state,
            self._parts.summaries(placement),
            in_progress,
            placement["min_serving_share"],
        )

    def _release_overdue_slot(self, engine: EngineState) -> None:
        # An engine that died while loading must not keep its slot from the others.
        slot = engine.slot
        if slot is None:
            return
        if self._parts.now_ms() - slot.taken_at_ms > self._rules.load_time_ms:
            self._release_slot(engine)

    def _release_slot(self, engine: EngineState) -> None:
        slot = engine.slot
        if slot is None:
            return
        compare = Compare(slot.key, slot.mod_revision)
        outcome = self._parts.kv.commit(Transaction((compare,), (Delete(slot.key),)))
        if isinstance(outcome, CommitDone | CommitConflict):
            engine.slot = None

    def _send(self, engine: EngineState, step: WantedOrder) -> str:
        parts = self._parts
        held = engine.leadership
        engine.n_orders += 1
        order_id = f"{parts.instance_id}.{held.fencing}.{engine.n_orders}"
        order = _order(order_id, step, held.fencing)
        # The lease is checked last before the order is sent, because this process may
        # have been paused until here for longer than the lease lasts.
        needed_ms = margin_ms(self._rules, step.kind == "load")
        if not parts.lease.holds(parts.now_ms(), needed_ms):
            return "the lease is about to expire"
        settings = engine.settings
        sent = parts.client.send(settings.id, settings.address, order)
        engine.last_order = f"{step.kind} {order_id}"
        parts.telemetry.metrics.incr(ORDERS, label=step.kind)
        parts.telemetry.log(
            events.ORDER_SENT,
            upstream_id=settings.id,
            order_id=order_id,
            kind=step.kind,
            model=step.model,
            weights_version=step.weights_version,
            reason=step.reason,
            outcome="taken" if sent.is_ok() else sent.error.code,
        )
        if sent.is_error() and isinstance(sent.error, OrderOutdated):
            self._on_outdated(engine, sent.error.highest_fencing)
        return step.reason

    def _on_outdated(self, engine: EngineState, highest_fencing: int) -> None:
        """Give up the leadership, unless the key shows that it is still held.

        If it is, the service was restored to lower revisions, and the engine remembers
        a higher fencing token from before; the next orders go above that one.
        """
        held = engine.leadership
        entry = self._parts.kv.get(leader_key(engine.settings.id)).default_value(None)
        is_own = entry is not None and entry.mod_revision == held.key_revision
        if is_own and entry.lease_id == self._parts.lease.lease_id():
            engine.leadership = held._replace(fencing=highest_fencing + 1)
            return
        engine.leadership = None
        self._log_lost(engine, "the engine has seen a later leader")

    def _log_lost(self, engine: EngineState, reason: str) -> None:
        self._parts.telemetry.log(
            events.STEWARD_LOST, upstream_id=engine.settings.id, reason=reason
        )


def _free_revision(entry: KvEntry | None) -> int:
    is_free = entry is not None and entry.value == FREE
    return entry.mod_revision if is_free else 0


def _is_slot_for(slot: Slot, state: EngineOrderState) -> bool:
    # A slot that was acquired for a cold engine does not allow taking out one that
    # serves.
    return slot.is_roll or not state.models


def _order(order_id: str, step: WantedOrder, fencing: int) -> EngineOrder:
    return EngineOrder(
        order_id=order_id,
        kind=step.kind,
        model=step.model,
        weights_version=step.weights_version,
        adapter=step.adapter,
        role=step.role,
        fencing=fencing,
    )
