"""Accounts that were isolated when removed outlive a restart of all instances.

A restarted fleet used the cache scope of before, in which others reached what such an
account had cached before it was isolated (WALL).
"""

import msgspec
import pytest
from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.catalog.isolation_record import (
    MAX_RECORDED_ACCOUNTS,
    RECORD_KEY,
    decode_record,
    encode_record,
    merge_record,
)
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.isolation_recorder import (
    IsolationRecorder,
    RecordedAccounts,
)
from buckthornrock.platform.store_listeners import store_listener
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.store.errors import KvUnavailable
from buckthornrock.store.kv_port import (
    CommitConflict,
    CommitUnknown,
    KvEntry,
    Snapshot,
    WatchBatch,
)
from buckthornrock.telemetry import Telemetry, open_metrics
from tests.platform.test_decoding import DOCUMENT
from tests.rollout.test_rollout_lease import ModelStore

WRITE_ID = b"w" * 16
SHOP = frozenset({"shop"})


def telemetry(logged=None):
    def log(event, **fields):
        if logged is not None:
            logged.append((event.name, fields))

    return Telemetry(log, open_metrics("", 0, ""))


def configuration_entry(version, **is_isolated):
    """Return an entry of the operator with these accounts."""
    tenants = [
        {"name": name, "apiKeys": [f"key-{name}"], "isolated": isolated}
        for name, isolated in is_isolated.items()
    ]
    value = msgspec.json.encode({**DOCUMENT, "version": version, "tenants": tenants})
    return KvEntry("op/config", value, version, 0, value[:16])


def record_entry(*names, revision=9):
    value = WRITE_ID + encode_record(names)
    return KvEntry(RECORD_KEY, value, revision, 0, WRITE_ID)


class Instance:
    """The state of an instance, and what its listener asks to be recorded."""

    def __init__(self):
        self.requested = []
        self.logged = []
        logging = telemetry(self.logged)
        self.state = FleetState("a", WeightsView(1e4), lambda: 0.0, logging)
        recorded = RecordedAccounts(self.requested.append)
        self.listener = store_listener(self.state, self, lambda: 0, recorded)

    def call_soon_threadsafe(self, call, *arguments):
        call(*arguments)

    def watch(self, revision, *entries, deleted=()):
        self.listener.on_change(WatchBatch(revision, entries, deleted))

    def scope(self):
        return self.state.configuration.table.cache_scope(None)


@pytest.mark.parametrize("is_stale", [False, True], ids=["listing", "changes"])
def test_restart_of_all_instances_keeps_the_scope_of_a_removed_account(is_stale):
    ran = Instance()
    ran.listener.on_snapshot(
        Snapshot(1, (configuration_entry(1, shop=False, mill=False),))
    )
    before = ran.scope()
    isolated = configuration_entry(2, shop=True, mill=False)
    ran.listener.on_change(WatchBatch(2, (isolated,), ()))
    (names,) = ran.requested
    removed = configuration_entry(3, mill=False)
    ran.listener.on_change(WatchBatch(3, (removed,), ()))
    restarted = Instance()
    entries = (removed, record_entry(*names))
    if is_stale:
        restarted.listener.on_snapshot(Snapshot(0, ()))
        restarted.listener.on_change(WatchBatch(9, entries, ()))
    else:
        restarted.listener.on_snapshot(Snapshot(9, entries))
    assert restarted.scope() == ran.scope() != before


def test_account_that_was_removed_while_nothing_ran_stays_out_of_reach():
    """No instance saw the removal; the record holds isolated accounts before that."""
    before = Instance()
    before.listener.on_snapshot(Snapshot(1, (configuration_entry(1, mill=False),)))
    restarted = Instance()
    entries = (configuration_entry(3, mill=False), record_entry("shop"))
    restarted.listener.on_snapshot(Snapshot(9, entries))
    assert restarted.state.configuration.removed_isolated_accounts == SHOP
    assert restarted.scope() != before.scope()


def test_recorded_account_that_shares_again_changes_nothing():
    instance = Instance()
    entries = (configuration_entry(3, shop=False, mill=False), record_entry("shop"))
    instance.listener.on_snapshot(Snapshot(9, entries))
    instance.watch(10)
    assert instance.scope() == "shared"
    assert not instance.requested


def test_record_before_any_configuration_is_used_with_the_first_one():
    instance = Instance()
    instance.listener.on_snapshot(Snapshot(1, (record_entry("shop"),)))
    removed = configuration_entry(3, mill=False)
    instance.listener.on_change(WatchBatch(9, (removed,), ()))
    assert instance.state.configuration.removed_isolated_accounts == SHOP


def test_later_record_is_not_applied():
    """Each addition to the record brought back accounts that had shared again."""
    instance = Instance()
    instance.listener.on_snapshot(Snapshot(1, (configuration_entry(1, shop=True),)))
    instance.watch(2)
    instance.watch(3, configuration_entry(3, shop=False))
    instance.watch(4, configuration_entry(4, mill=True), record_entry("shop"))
    instance.watch(5, record_entry("mill", "shop"))
    assert instance.state.configuration.removed_isolated_accounts == frozenset()


def test_accounts_are_requested_once_and_only_if_they_are_not_recorded():
    instance = Instance()
    isolated = configuration_entry(2, shop=True)
    instance.listener.on_snapshot(Snapshot(2, (isolated,)))
    # Every instance of a fleet gets a listing at its start.
    assert not instance.requested
    for revision in (3, 4):
        instance.watch(revision)
    assert instance.requested == [SHOP]
    both = configuration_entry(5, shop=True, mill=True)
    instance.watch(6, both, record_entry("mill", "shop"))
    assert instance.requested == [SHOP]
    instance.watch(7, configuration_entry(7, shop=True, mill=True, shed=True))
    assert instance.requested[1:] == [frozenset({"shop", "mill", "shed"})]


@pytest.mark.parametrize("is_removed", [False, True], ids=["undecodable", "removed"])
def test_lost_record_is_requested_again(is_removed):
    instance = Instance()
    odd = KvEntry(RECORD_KEY, WRITE_ID + b"[1", 9, 0, WRITE_ID)
    instance.listener.on_snapshot(Snapshot(2, (configuration_entry(2, shop=True),)))
    instance.watch(3)
    instance.watch(4, record_entry("shop"))
    instance.watch(5)
    assert instance.requested == [SHOP]
    if is_removed:
        instance.watch(6, deleted=(RECORD_KEY,))
    else:
        instance.watch(6, odd)
    assert instance.requested == [SHOP, SHOP]
    logged = [name for name, _ in instance.logged]
    assert ("gateway.undecodable" in logged) == (not is_removed)


def test_undecodable_record_leaves_the_rest_of_a_snapshot_in_force():
    instance = Instance()
    odd = KvEntry(RECORD_KEY, WRITE_ID + b"[1", 9, 0, WRITE_ID)
    instance.listener.on_snapshot(Snapshot(9, (odd, configuration_entry(2, shop=True))))
    assert instance.state.configuration.version == 2
    instance.watch(10)
    assert instance.requested == [SHOP]


class Recorder:
    """A recorder with a store; ``outcomes`` are those of its first commits."""

    def __init__(self, *outcomes):
        self.store = ModelStore()
        self.outcomes = list(outcomes)
        self.n_pauses = 0
        self.logged = []
        port = self.store.port()._replace(commit=self.commit, get=self.get)
        self.is_down = False
        self.actor = IsolationRecorder(port, telemetry(self.logged), self.pause)

    def get(self, key):
        return Error(KvUnavailable("down")) if self.is_down else self.store.get(key)

    def commit(self, transaction):
        if not self.outcomes:
            return self.store.commit(transaction)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def pause(self, duration_s):
        self.n_pauses += 1
        self.is_down = False

    def recorded(self):
        return decode_record(self.store.entries[RECORD_KEY].value[16:])


@pytest.mark.parametrize(
    "outcome",
    [CommitConflict(()), CommitUnknown("lost"), ValueError("odd")],
    ids=["conflict", "unknown", "raises"],
)
def test_record_that_may_not_have_been_written_is_tried_again(outcome):
    recorder = Recorder(outcome)
    recorder.actor.on_receive(SHOP)
    assert recorder.recorded() == Ok(SHOP)
    assert recorder.n_pauses == 1


def test_outage_of_the_store_only_delays_the_record():
    recorder = Recorder()
    recorder.is_down = True
    recorder.actor.on_receive(SHOP)
    assert (recorder.recorded(), recorder.n_pauses) == (Ok(SHOP), 1)


def test_record_keeps_what_other_instances_wrote():
    recorder = Recorder()
    recorder.actor.on_receive(frozenset({"mill"}))
    recorder.actor.on_receive(SHOP)
    assert recorder.recorded() == Ok(frozenset({"mill", "shop"}))
    n_writes = recorder.store.revision
    recorder.actor.on_receive(SHOP)
    assert recorder.store.revision == n_writes
    assert recorder.logged[-1] == (
        "gateway.isolation_recorded",
        {"n_accounts": 2, "n_added": 1},
    )


def test_undecodable_record_is_replaced():
    recorder = Recorder()
    odd = KvEntry(RECORD_KEY, WRITE_ID + b"[1", 9, 0, WRITE_ID)
    recorder.store.entries[RECORD_KEY] = odd
    recorder.actor.on_receive(SHOP)
    assert recorder.recorded() == Ok(SHOP)


def test_write_that_takes_effect_late_removes_nothing():
    """Its comparison fails, as another instance has written meanwhile."""
    first, other = Recorder(CommitUnknown("lost")), Recorder()
    other.store = first.store
    late = []
    commit = first.actor._store.commit
    first.actor._store = first.actor._store._replace(
        commit=lambda transaction: late.append(transaction) or commit(transaction)
    )

    def pause(_):
        other.actor.on_receive(frozenset({"mill"}))
        assert isinstance(first.store.commit(late[0]), CommitConflict)

    first.actor._pause = pause
    first.actor.on_receive(SHOP)
    assert first.recorded() == Ok(frozenset({"mill", "shop"}))


def test_full_record_is_not_requested_again_and_again():
    names = [f"{number:04}" for number in range(MAX_RECORDED_ACCOUNTS)]
    instance = Instance()
    entries = (configuration_entry(2, shop=True), record_entry(*names))
    instance.listener.on_snapshot(Snapshot(9, entries))
    instance.watch(10)
    (requested,) = instance.requested
    assert "shop" in requested
    instance.watch(11, record_entry(*merge_record(frozenset(names), requested)))
    instance.watch(12)
    assert len(instance.requested) == 1


@pytest.mark.parametrize("name", ["shop", "0"])
def test_known_accounts_come_before_those_recorded_earlier(name):
    recorded = frozenset(f"{n:04}" for n in range(MAX_RECORDED_ACCOUNTS))
    merged = merge_record(recorded, [name])
    assert name in merged
    assert len(merged) == MAX_RECORDED_ACCOUNTS
    assert merge_record(merged, [name]) == merged


def test_bytes_of_the_record_do_not_change():
    """Instances of other versions read them."""
    assert (RECORD_KEY, encode_record({"b", "a"})) == (
        "accounts/isolated",
        b'["a","b"]',
    )


@given(st.binary(max_size=60))
def test_record_of_another_writer_is_a_failure_or_names(value):
    decoded = decode_record(value)
    assert decoded.is_error() or isinstance(decoded.ok, frozenset)


@pytest.mark.parametrize("value", [b"[" * 100_000, b'["a", 1]', b"{}", b"\xff"])
def test_odd_record_is_a_failure(value):
    assert decode_record(value).is_error()
