"""Keeps the engines of this instance's stewardships as the placement wants them.

Each step looks at every engine that this instance is, or should be, steward of. All
that may be slow or fail is passed in; what is decided is decided by
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
    SlotDoubt,
)
from .leadership import (
    FREE,
    Leadership,
    LeadershipRules,
    is_first_choice,
    is_to_hand_over,
    leader_key,
    margin_ms,
    may_order_from_ms,
    with_choice,
)
from .placement_document import wanted_for
from .reconciler import (
    LoadInProgress,
    NoOrder,
    WantedOrder,
    may_load,
    next_order,
)

#: Waits between looks for a free slot, so that waiting stewards don't ask together.
MIN_SLOT_WAIT_MS = 200.0
MAX_SLOT_WAIT_MS = 1_000.0
CLOSE_STEP_MS = 200.0


class EngineController:
    """The stewardships of this instance.

    Parameters
    ----------
    engines : tuple of UpstreamSettings
        All engines of the fleet.
    rules : LeadershipRules
        Times that keep stewards apart.
    n_slots : int
        Engines of the fleet that may load at once.
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
        """Look at every engine once."""
        with self._step_lock:
            self._choose(self._parts.live_ids())
            for engine in self._engines:
                self._step_engine(engine)

    def drain(self) -> None:
        """Take no further stewardship and start no further load."""
        self._is_draining = True

    def close(self) -> None:
        """Finish the loads under way, then hand back every stewardship."""
        self.drain()
        give_up_at_ms = self._parts.now_ms() + self._rules.load_time_ms
        while self._has_slot() and self._parts.now_ms() < give_up_at_ms:
            self.step()
            self._parts.sleep_ms(CLOSE_STEP_MS)
        with self._step_lock:
            for engine in self._engines:
                if engine.leadership is not None:
                    self._hand_back(engine)

    def _has_slot(self) -> bool:
        return any(engine.slot is not None for engine in self._engines)

    def views(self) -> list[LeadershipView]:
        """Return what is known of the engines of this instance's stewardships."""
        held = [(e, e.leadership) for e in self._engines]
        return [
            LeadershipView(e.settings.id, leadership.fencing, e.last_order, e.reason)
            for e, leadership in held
            if leadership is not None
        ]

    def _choose(self, live_ids: tuple[str, ...]) -> None:
        """Note for which engines this instance is the first choice.

        Only when the live instances change: ranking each of them for each engine at
        every step would grow with the product of both.
        """
        if live_ids == self._live_ids:
            return
        self._live_ids = live_ids
        own_id = self._parts.instance_id
        for engine in self._engines:
            upstream_id = engine.settings.id
            engine.is_first = is_first_choice(upstream_id, own_id, live_ids)

    def _step_engine(self, engine: EngineState) -> None:
        parts = self._parts
        is_first = engine.is_first
        self._drop_lapsed(engine)
        self._settle_slot(engine)
        if engine.handing_back is not None:
            self._finish_hand_back(engine)
            return
        if engine.leadership is None:
            self._free_dead_slot(engine)
            if is_first and not self._is_draining:
                self._acquire(engine)
            return
        now_ms = parts.now_ms()
        engine.leadership = with_choice(engine.leadership, is_first, now_ms)
        if engine.slot is None and is_to_hand_over(engine.leadership, now_ms):
            self._hand_back(engine)
            return
        engine.reason = self._reconcile(engine)

    def _drop_lapsed(self, engine: EngineState) -> None:
        lease = self._parts.lease
        epoch = lease.epoch() if lease.holds(self._parts.now_ms(), 0.0) else None
        if engine.leadership is not None and engine.leadership.epoch != epoch:
            engine.leadership = None
            self._log_lost(engine, "lease lost")
        # What hangs on a lost lease goes with it.
        for name in ("handing_back", "slot", "slot_doubt"):
            held = getattr(engine, name)
            if held is not None and held.epoch != epoch:
                setattr(engine, name, None)

    def _acquire(self, engine: EngineState) -> None:
        parts = self._parts
        # The epoch is read before the lease id, so that a lease granted in between
        # makes the stewardship look lost, never held too long.
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
            # The answer to an earlier write of ours may have been lost.
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
        """Stop ordering, and free the key for the next steward."""
        engine.handing_back, engine.leadership = engine.leadership, None
        self._log_lost(engine, "handed back")
        self._finish_hand_back(engine)

    def _finish_hand_back(self, engine: EngineState) -> None:
        # A key left behind under a lease that is renewed would keep others out for
        # as long as this instance runs, so this is tried until it is settled.
        key = leader_key(engine.settings.id)
        compare = Compare(key, engine.handing_back.key_revision)
        transaction = Transaction((compare,), (Put(key, FREE),))
        outcome = self._parts.kv.commit(transaction)
        if isinstance(outcome, CommitDone | CommitConflict):
            engine.handing_back = None

    def _reconcile(self, engine: EngineState) -> str:
        """Take one step towards what is wanted; return the reason for it."""
        settings = engine.settings
        record = self._parts.placements.current()
        wanted = wanted_for(record.placement, settings.id, settings.failure_domain)
        if wanted is None and engine.slot is None:
            return "nothing is wanted of it"
        state = self._parts.client.read(settings.id, settings.address)
        if state.is_error():
            self._free_dead_slot(engine)
            return f"not reachable: {state.error.reason}"
        step = next_order(wanted, state.ok)
        is_load = isinstance(step, WantedOrder) and step.kind == "load"
        if not state.ok.loading and not is_load:
            self._release_slot(engine)
        if isinstance(step, NoOrder):
            return step.reason
        waiting = self._wait_for(engine, step, state.ok)
        if waiting is not None:
            return waiting.reason
        return self._send(engine, step)

    def _wait_for(
        self, engine: EngineState, order: WantedOrder, state: EngineOrderState
    ) -> NoOrder | None:
        """Return why the order must wait; take a slot if it needs one."""
        checks_fencing = engine.settings.checks_fencing
        from_ms = may_order_from_ms(engine.leadership, checks_fencing, self._rules)
        if self._parts.now_ms() < from_ms:
            return NoOrder("waiting until the steward before can't order any more")
        if order.kind != "load":
            return None
        if engine.slot is not None and _is_slot_for(engine.slot, state):
            return None
        self._release_slot(engine)
        if self._is_draining:
            return NoOrder("this instance stops")
        return self._take_slot(engine, state)

    def _take_slot(
        self, engine: EngineState, state: EngineOrderState
    ) -> NoOrder | None:
        parts = self._parts
        if engine.slot_doubt is not None:
            return NoOrder("a load slot may have been taken")
        if not self._is_time_to_look(engine):
            return NoOrder("waiting for a load slot")
        entries = parts.kv.get_prefix(load_slots.KEY_PREFIX)
        if entries.is_error():
            return NoOrder("load slots can't be read")
        waiting = self._may_load(
            engine, state, load_slots.loads_in_progress(entries.ok)
        )
        if waiting is not None:
            return waiting
        epoch, lease_id = parts.lease.epoch(), parts.lease.lease_id()
        record = load_slots.SlotRecord(
            parts.instance_id,
            engine.settings.id,
            engine.settings.failure_domain,
            bool(state.models),
        )
        transaction = load_slots.taking(record, entries.ok, self._n_slots, lease_id)
        if transaction is None or not lease_id:
            return NoOrder("waiting for a load slot")
        outcome = parts.kv.commit(transaction)
        if isinstance(outcome, CommitUnknown):
            until_ms = parts.now_ms() + self._rules.lease_ttl_ms
            engine.slot_doubt = SlotDoubt(epoch, lease_id, until_ms)
        if not isinstance(outcome, CommitDone):
            return NoOrder("waiting for a load slot")
        key = transaction.writes[0].key
        engine.slot = Slot(key, outcome.revision, epoch, parts.now_ms(), record.is_roll)
        return None

    def _is_time_to_look(self, engine: EngineState) -> bool:
        now_ms = self._parts.now_ms()
        if now_ms < engine.slot_look_at_ms:
            return False
        wait_ms = self._parts.rng.uniform(MIN_SLOT_WAIT_MS, MAX_SLOT_WAIT_MS)
        engine.slot_look_at_ms = now_ms + wait_ms
        return True

    def _settle_slot(self, engine: EngineState) -> None:
        """Look whether a write whose answer was lost has taken a slot.

        A slot that nobody knows to be held would be lost to the fleet for as long as
        this instance renews its lease.
        """
        doubt = engine.slot_doubt
        if doubt is None or not self._is_time_to_look(engine):
            return
        entries = self._parts.kv.get_prefix(load_slots.KEY_PREFIX)
        if entries.is_error():
            return
        now_ms = self._parts.now_ms()
        found = load_slots.held_by(entries.ok, engine.settings.id, doubt.lease_id)
        if found is not None:
            key, mod_revision, is_roll = found
            engine.slot = Slot(key, mod_revision, doubt.epoch, now_ms, is_roll)
        if found is not None or now_ms >= doubt.until_ms:
            engine.slot_doubt = None

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

    def _free_dead_slot(self, engine: EngineState) -> None:
        # An engine that died while loading must not keep the others waiting.
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
        # The last look before the act: a pause until here may have used up the lease.
        needed_ms = margin_ms(self._rules, step.kind == "load")
        if not parts.lease.holds(parts.now_ms(), needed_ms):
            return "the lease is about to lapse"
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
        """Give up the stewardship, unless the key says that it is still held.

        Then the service was set back to lower revisions, and the engine remembers a
        number from before.
        """
        held = engine.leadership
        entry = self._parts.kv.get(leader_key(engine.settings.id)).default_value(None)
        is_own = entry is not None and entry.mod_revision == held.key_revision
        if is_own and entry.lease_id == self._parts.lease.lease_id():
            engine.leadership = held._replace(fencing=highest_fencing + 1)
            return
        engine.leadership = None
        self._log_lost(engine, "the engine knows a later steward")

    def _log_lost(self, engine: EngineState, reason: str) -> None:
        self._parts.telemetry.log(
            events.STEWARD_LOST, upstream_id=engine.settings.id, reason=reason
        )


def _free_revision(entry: KvEntry | None) -> int:
    is_free = entry is not None and entry.value == FREE
    return entry.mod_revision if is_free else 0


def _is_slot_for(slot: Slot, state: EngineOrderState) -> bool:
    # A slot that was taken for a cold engine gives no leave to take a serving one out.
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
