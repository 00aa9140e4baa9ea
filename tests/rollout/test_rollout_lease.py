"""At most one instance may act, despite store failures, pauses and restarts."""

import pytest
from expression import Error, Ok
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.rollout.rollout_lease import RolloutLease
from buckthornrock.store.errors import KvUnavailable, LeaseGone
from buckthornrock.store.kv_port import (
    CommitConflict,
    CommitDone,
    CommitUnknown,
    KvEntry,
    LeaseGrant,
    Put,
    StorePort,
)

TTL_MS = 3_000.0
HANDOVER_MS = 3_000.0
NAMES = ("i1", "i2", "i3")
TICK_MS = 100.0


class ModelStore:
    """In-memory keys and leases of the store, with a simulated clock."""

    def __init__(self):
        self.now_ms = 0.0
        self.entries = {}
        self.leases = {}
        self.revision = 0
        self.is_down = False
        self.loses_answers = False
        self.delay_ms = 0.0

    def expire(self):
        for lease_id, ends_ms in list(self.leases.items()):
            if self.now_ms >= ends_ms:
                self.end(lease_id)

    def end(self, lease_id):
        self.leases.pop(lease_id, None)
        self.entries = {
            key: entry
            for key, entry in self.entries.items()
            if entry.lease_id != lease_id
        }

    def port(self):
        return StorePort(
            get=self.get,
            snapshot=None,
            poll=None,
            commit=self.commit,
            grant_lease=self.grant,
            keep_alive=self.keep,
            revoke_lease=self.revoke,
        )

    def get(self, key):
        if self.is_down:
            return Error(KvUnavailable("down"))
        self.expire()
        return Ok(self.entries.get(key))

    def grant(self, ttl_s):
        if self.is_down:
            return Error(KvUnavailable("down"))
        self.revision += 1
        self.leases[self.revision] = self.now_ms + ttl_s * 1000.0
        return Ok(LeaseGrant(self.revision, ttl_s))

    def keep(self, lease_id):
        if self.is_down:
            return Error(KvUnavailable("down"))
        self.expire()
        if lease_id not in self.leases:
            return Error(LeaseGone(lease_id))
        self.leases[lease_id] = self.now_ms + TTL_MS
        # The response is delayed, for example while the caller is suspended.
        self.now_ms += self.delay_ms
        if self.loses_answers:
            return Error(KvUnavailable("lost"))
        return Ok(TTL_MS / 1000.0)

    def revoke(self, lease_id):
        if not self.is_down:
            self.end(lease_id)
        return Ok(None)

    def commit(self, transaction):
        if self.is_down:
            return CommitUnknown("down")
        self.expire()
        for compare in transaction.compares:
            entry = self.entries.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                return CommitConflict(())
        self.revision += 1
        for put in transaction.writes:
            assert isinstance(put, Put)
            self.entries[put.key] = KvEntry(
                put.key, b"0" * 16 + put.value, self.revision, put.lease_id, b""
            )
        if self.loses_answers:
            return CommitUnknown("lost")
        return CommitDone(self.revision)


class LeaseMachine(RuleBasedStateMachine):
    """Three instances run, freeze and restart; the store fails and loses responses."""

    def __init__(self):
        super().__init__()
        self.store = ModelStore()
        self.contenders = {name: self.new_contender(name) for name in NAMES}
        self.acts = []

    def new_contender(self, name):
        return RolloutLease(
            self.store.port(), name, TTL_MS, HANDOVER_MS, lambda: self.store.now_ms
        )

    def act(self, name):
        contender = self.contenders[name]
        if contender.may_act():
            self.acts.append((self.store.now_ms, name, contender.fence))

    @rule(
        n_ticks=st.integers(1, 40),
        frozen=st.sets(st.sampled_from(NAMES), max_size=2),
    )
    def live(self, n_ticks, frozen):
        for _ in range(n_ticks):
            self.store.now_ms += TICK_MS
            for name in NAMES:
                if name in frozen:
                    continue
                self.contenders[name].step()
                self.at_most_one_may_act()
                self.act(name)

    @rule(duration_ms=st.sampled_from([700.0, 2_900.0, 6_000.0]))
    def all_freeze(self, duration_ms):
        self.store.now_ms += duration_ms

    @rule(delay_ms=st.sampled_from([0.0, 0.0, 1_000.0, 3_500.0]))
    def slow(self, delay_ms):
        self.store.delay_ms = delay_ms

    @rule(is_down=st.booleans(), loses_answers=st.booleans())
    def disturb(self, is_down, loses_answers):
        self.store.is_down = is_down
        self.store.loses_answers = loses_answers

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.contenders[name] = self.new_contender(name)

    @rule(name=st.sampled_from(NAMES))
    def stop(self, name):
        self.contenders[name].release()

    @invariant()
    def at_most_one_may_act(self):
        assert sum(contender.may_act() for contender in self.contenders.values()) <= 1

    @invariant()
    def fences_rise_and_handovers_keep_the_minimum_time(self):
        for before, after in zip(self.acts, self.acts[1:], strict=False):
            assert after[2] >= before[2]
            if after[1] != before[1]:
                assert after[2] > before[2]
                assert after[0] - before[0] >= HANDOVER_MS


LeaseMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=15, derandomize=True, deadline=None
)
TestLease = LeaseMachine.TestCase


def test_renewal_answered_after_expiry_does_not_restore_the_lease():
    store = ModelStore()
    port = store.port()
    contender = RolloutLease(port, "i1", TTL_MS, HANDOVER_MS, lambda: store.now_ms)
    contender.step()
    assert contender.may_act()
    store.now_ms += TTL_MS * 0.5
    store.delay_ms = TTL_MS * 0.6
    contender.step()
    assert not contender.is_held()


@pytest.mark.parametrize("frozen_ms", [TTL_MS - 100.0, TTL_MS + 100.0, 60_000.0])
def test_first_order_of_a_successor_waits_for_the_last_one_of_a_frozen_holder(
    frozen_ms,
):
    store = ModelStore()
    holder, successor = (
        RolloutLease(store.port(), name, TTL_MS, HANDOVER_MS, lambda: store.now_ms)
        for name in ("i1", "i2")
    )
    holder.step()
    assert holder.may_act()
    # The holder freezes right after its check, and wakes with its order in hand.
    acted_at_ms = None
    while store.now_ms < frozen_ms:
        store.now_ms += TICK_MS
        successor.step()
        if acted_at_ms is None and successor.may_act():
            acted_at_ms = store.now_ms
    assert not holder.may_act()
    # The holder's check was valid until its lease ended, less the margin.
    if acted_at_ms is not None:
        assert acted_at_ms >= TTL_MS + HANDOVER_MS
    assert (acted_at_ms is not None) == (frozen_ms >= TTL_MS + HANDOVER_MS)
    holder.step()
    assert not (holder.may_act() and successor.may_act())
