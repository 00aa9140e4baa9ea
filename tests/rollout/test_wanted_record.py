"""Since when versions are wanted outlives a restart of all instances."""

import asyncio
import threading

import msgspec
import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.isolation_recorder import RecordedAccounts
from buckthornrock.gateway.rollout_inputs import collect_rollout_inputs
from buckthornrock.platform.store_listeners import store_listener
from buckthornrock.rollout.actor import RECORD_RETRY_MS, RolloutActor
from buckthornrock.rollout.plan import RolloutEngine
from buckthornrock.rollout.port import (
    EnginePort,
    EngineReport,
    OrderAnswer,
    RolloutCallbacks,
    RolloutInputs,
)
from buckthornrock.rollout.rollout_lease import RolloutLease
from buckthornrock.rollout.wanted_record import (
    RECORD_PREFIX,
    decode_record,
    encode_record,
)
from buckthornrock.scheduling.weights import WantedWeights, WeightsView
from buckthornrock.store.kv_port import KvEntry, Snapshot, WatchBatch
from buckthornrock.telemetry import Telemetry, open_metrics
from tests.rollout.test_rollout_lease import ModelStore
from tests.scheduling.world import engine

WALL_MS = 1_790_000_000_000
USABLE_MS = 18_500.0
WRITE_ID = b"w" * 16
#: Monotonic time at the wall clock's ``WALL_MS``.
START_MS = 100_000.0


@pytest.mark.parametrize(
    ("passed_ms", "expected"),
    [
        (0, [(2, 9_000), (3, 1_000)]),
        (5_000, [(2, 14_000), (3, 6_000)]),
        # The time of day jumped back by an hour.
        (-3_600_000, [(2, 0), (3, 0)]),
    ],
)
def test_ages_are_those_at_the_time_of_reading(passed_ms, expected):
    value = encode_record([(2, 9_000), (3, 1_000)], WALL_MS)
    assert decode_record(value, WALL_MS + passed_ms) == Ok(expected)


@given(st.binary(max_size=60))
def test_record_of_another_writer_is_a_failure_or_a_list(value):
    decoded = decode_record(value, WALL_MS)
    assert decoded.is_error() or isinstance(decoded.ok, list)


@pytest.mark.parametrize(
    "value", [b"[" * 100_000, b"[[2, %d]]" % 10**400, b'[["2", 3]]', b"{}", b"\xff"]
)
def test_odd_record_is_a_failure(value):
    assert decode_record(value, WALL_MS).is_error()


class World:
    """An actor that holds the lease of a store, and engines that always obey."""

    def __init__(self):
        self.store = ModelStore()
        self.store.now_ms = START_MS
        self.clock_step_ms = 0
        self.written_at_ms = WALL_MS
        self.wanted_ages = [(2, 5_000)]
        lease = RolloutLease(
            self.store.port(), "i1", 3_000.0, 3_000.0, lambda: self.store.now_ms
        )
        self.ordered = []
        self.actor = RolloutActor(
            lease,
            EnginePort(lambda _: Ok(EngineReport({"m": 1}, False, 0)), self.order),
            self.inputs,
            RolloutCallbacks(lambda *_: None, lambda *_: None),
            "i1",
            lambda: self.store.now_ms,
            Telemetry(lambda event, **fields: None, open_metrics("", 0, "")),
            threading.Event(),
            wall_ms=self.wall_ms,
        )

    def wall_ms(self):
        return int(WALL_MS + self.store.now_ms - START_MS) + self.clock_step_ms

    def order(self, order, fencing):
        self.ordered.append(order.upstream.upstream_id)
        return Ok(OrderAnswer(202))

    def inputs(self):
        newest = self.wanted_ages[-1][0]
        engines = [RolloutEngine(engine(0), 1, 0.0)]
        since = [
            WantedWeights(v, self.store.now_ms - age) for v, age in self.wanted_ages
        ]
        return RolloutInputs({"m": newest}, {"m": engines}, {"m": since})

    def step(self):
        began_at_ms, n_writes = self.wall_ms(), self.store.revision
        self.actor._step()
        if self.store.revision > n_writes:
            self.written_at_ms = began_at_ms
        self.store.now_ms += 200.0

    def recorded(self, *ages_ms):
        """Let another holder have written the record."""
        value = WRITE_ID + encode_record(ages_ms, WALL_MS)
        key = RECORD_PREFIX + "m"
        self.store.entries[key] = KvEntry(key, value, 1, 0, WRITE_ID)

    def record(self):
        entry = self.store.entries.get(RECORD_PREFIX + "m")
        if entry is None:
            return None
        return decode_record(entry.value[16:], self.written_at_ms).ok


def test_holder_of_the_lease_records_each_version_once():
    world = World()
    for _ in range(4):
        world.step()
    assert world.ordered and world.record() == [(2, 5_000)]
    n_writes = world.store.revision
    for _ in range(4):
        world.step()
    assert world.store.revision == n_writes
    world.wanted_ages = [(2, 9_000), (3, 0)]
    world.step()
    assert world.record() == [(2, 9_000), (3, 0)]


def test_version_is_recorded_before_the_holder_may_send_orders():
    """The holder before it sent orders just now, so that it waits for its turn."""
    world = World()
    other = RolloutLease(
        world.store.port(), "i2", 3_000.0, 3_000.0, lambda: world.store.now_ms
    )
    other.step()
    other.release()
    world.step()
    assert not world.ordered
    assert world.record() == [(2, 5_000)]


def test_holder_that_started_late_does_not_shorten_a_recorded_age():
    world = World()
    world.recorded((1, 30_000), (2, 12_000))
    world.wanted_ages = [(2, 0), (3, 0)]
    world.step()
    assert world.record() == [(2, 12_000), (3, 0)]


# Prompts began on replaced weights 12 s after a newer version was wanted. The record
# was written by a clock that was ahead, it was set back, and all instances restarted.
@pytest.mark.parametrize("step_ms", [-20_000, 20_000])
def test_record_is_written_again_when_the_clock_steps(step_ms):
    world = World()
    world.recorded((1, 30_000))
    world.wanted_ages = [(1, 8_000), (2, 5_000)]
    world.step()
    assert world.record() == [(1, 30_000), (2, 5_000)]
    world.clock_step_ms = step_ms
    world.step()
    assert world.record() == [(1, 30_200), (2, 5_200)]
    n_writes = world.store.revision
    world.step()
    assert world.store.revision == n_writes


@pytest.mark.parametrize("step_ms", [-20_000, 20_000])
def test_lost_response_to_a_write_after_a_clock_step_changes_no_age(step_ms):
    """The record of the new clock was read by the offset of the one before."""
    world = World()
    world.recorded((1, 30_000))
    world.wanted_ages = [(1, 8_000), (2, 5_000)]
    world.step()
    world.clock_step_ms = step_ms
    put = world.actor._lease.put
    world.actor._lease.put = lambda key, value: put(key, value) and False
    world.step()
    world.actor._lease.put = put
    for _ in range(int(RECORD_RETRY_MS / 200.0) + 1):
        world.step()
    passed_ms = world.written_at_ms - step_ms - WALL_MS
    assert passed_ms >= RECORD_RETRY_MS
    assert world.record() == [(1, 30_000 + passed_ms), (2, 5_000 + passed_ms)]


def test_slow_order_makes_no_recorded_age_shorter():
    world = World()

    def order_slowly(order, fencing):
        world.store.now_ms += 600.0
        return World.order(world, order, fencing)

    world.actor._engines = world.actor._engines._replace(order=order_slowly)
    world.step()
    assert world.record()[0][1] >= 5_000


def test_record_that_was_not_written_is_tried_again():
    world = World()
    world.step()
    world.wanted_ages = [(2, 9_000), (3, 0)]
    put = world.actor._lease.put
    world.actor._lease.put = lambda key, value: False
    world.step()
    world.actor._lease.put = put
    assert world.record() == [(2, 5_000)]
    for _ in range(int(RECORD_RETRY_MS / 200.0) + 1):
        world.step()
    assert world.record() == [(2, 9_000), (3, 0)]


def test_lost_lease_writes_no_record():
    world = World()
    world.step()
    world.store.end(next(iter(world.store.leases)))
    assert not world.actor._lease.put(RECORD_PREFIX + "m", b"[]")


def entry(key, value, revision=7):
    return KvEntry(key, value, revision, 0, value[:16])


def weights_entry(version):
    value = msgspec.json.encode({"model": "m", "version": version})
    return entry("op/version/m", value)


def record_entry(*ages_ms):
    return entry(RECORD_PREFIX + "m", WRITE_ID + encode_record(ages_ms, WALL_MS))


def fleet_state_after(handle):
    """Return the state of an instance whose watcher reported to its listener."""

    async def main():
        telemetry = Telemetry(lambda event, **fields: None, open_metrics("", 0, ""))
        state = FleetState("a", WeightsView(USABLE_MS), lambda: 0.0, telemetry)
        loop = asyncio.get_running_loop()
        recorded = RecordedAccounts(lambda names: None)
        handle(store_listener(state, loop, lambda: WALL_MS + 4_000, recorded))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return state

    return asyncio.run(main())


@pytest.mark.parametrize("loaded", [1, 2])
def test_restart_of_all_instances_does_not_prolong_the_use_of_old_weights(loaded):
    """No peer knows since when the version is wanted, only the store's record."""
    snapshot = Snapshot(9, (weights_entry(3), record_entry((2, 9_000), (3, 1_000))))
    state = fleet_state_after(lambda listener: listener.on_snapshot(snapshot))
    lag_ms = state.weights.lag_ms(engine(0, version=loaded), "m", 0.0)
    assert lag_ms == {1: 13_000.0, 2: 5_000.0}[loaded]


def test_record_that_a_stale_listing_lacks_is_read_with_the_first_changes():
    def handle(listener):
        listener.on_snapshot(Snapshot(7, ()))
        entries = (weights_entry(3), record_entry((3, 9_000)))
        listener.on_change(WatchBatch(9, entries, ()))

    state = fleet_state_after(handle)
    assert state.weights.lag_ms(engine(0, version=2), "m", 0.0) == 13_000.0


@pytest.mark.parametrize("is_listing", [False, True])
def test_later_record_is_ignored(is_listing):
    """An instance that ran when the version changed knows better than the record."""
    entries = (weights_entry(3), record_entry((3, 9_000)))

    def handle(listener):
        listener.on_snapshot(Snapshot(7, ()))
        listener.on_change(WatchBatch(8, (weights_entry(3),), ()))
        if is_listing:
            listener.on_snapshot(Snapshot(9, entries))
        else:
            listener.on_change(WatchBatch(9, entries, ()))

    state = fleet_state_after(handle)
    assert state.weights.lag_ms(engine(0, version=2), "m", 0.0) == 0.0


def test_recorded_version_that_operators_did_not_name_is_ignored():
    snapshot = Snapshot(9, (weights_entry(2), record_entry((2, 1_000), (7, 9_000))))
    state = fleet_state_after(lambda listener: listener.on_snapshot(snapshot))
    assert state.weights.wanted("m").version == 2


def test_inputs_of_the_rollout_name_earlier_versions():
    snapshot = Snapshot(9, (weights_entry(3), record_entry((2, 9_000), (3, 1_000))))
    state = fleet_state_after(lambda listener: listener.on_snapshot(snapshot))
    since = collect_rollout_inputs(state, 0.0).wanted_since
    assert since == {"m": [WantedWeights(2, -13_000.0), WantedWeights(3, -5_000.0)]}


def test_unreadable_record_leaves_the_rest_of_a_snapshot_in_force():
    odd = entry(RECORD_PREFIX + "m", WRITE_ID + b"[[")
    snapshot = Snapshot(9, (odd, weights_entry(3)))
    state = fleet_state_after(lambda listener: listener.on_snapshot(snapshot))
    assert state.weights.wanted("m").version == 3


def test_lease_of_an_unreachable_store_writes_nothing():
    world = World()
    world.step()
    world.store.is_down = True
    assert not world.actor._lease.put(RECORD_PREFIX + "m", b"[]")
