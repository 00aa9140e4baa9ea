"""No instance goes back to a lower version, and no accepted change is lost."""

import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from buckthornrock.profiles import ProfileRecord
from buckthornrock.profiles.acceptance import Acceptance
from buckthornrock.profiles.encoding import from_wire, to_wire
from buckthornrock.profiles.start import start_profile
from buckthornrock.profiles.stored import key_of
from buckthornrock.profiles.table import ProfileTable, order_of
from buckthornrock.standins.kv import KvStandin
from buckthornrock.store import Compare, Put, Transaction
from buckthornrock.store.kv_client import KvClient
from buckthornrock.store.kv_codec import KvCodec
from buckthornrock.store.kv_port import KvPort
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from tests.store.fake_kv import FakeHttp, FakeTime

from .fleet import profile

NAME = "default"
N_INSTANCES = 3
TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))
FATES = st.lists(
    st.sampled_from(
        [("answer", None), ("lost", None), ("ignored", None), ("unsent", None)]
        + [("late", 40.0), ("late", 30_000.0)]
        + [("overtaken", True), ("lost_then_overtaken", True)]
    ),
    max_size=8,
)


class Instance:
    """The profile table, acceptance and key-value client of one instance."""

    def __init__(self, time, standin, fleet):
        self.http = FakeHttp(time, standin)
        codec = KvCodec("btr/")
        client = KvClient(self.http, codec, time.clock(), random.Random(1))
        self.kv = KvPort(
            client.get, client.get_prefix, client.commit,
            client.grant_lease, client.keep_alive, client.revoke_lease,
        )  # fmt: skip
        self.pending = []
        start = ProfileRecord(NAME, 0, start_profile(), "start")
        self.table = ProfileTable([start])

        def fetch_from_peers(name):
            for other in fleet():
                for record in other.accepted():
                    self.table.offer(record)

        self.acceptance = Acceptance(
            self.kv, self.table, lambda: int(time.now_ms), fetch_from_peers,
            self.pending.append, TELEMETRY,
        )  # fmt: skip

    def accepted(self):
        record = self.table.get(NAME)
        return [] if record.trust == "start" else [from_wire(to_wire(record)).ok]

    def order(self):
        return order_of(self.table.get(NAME))


class Profiles(RuleBasedStateMachine):
    """Instances, operators, peers, and a service that loses responses and state."""

    instances = st.integers(0, N_INSTANCES - 1)

    def __init__(self):
        super().__init__()
        self.time = FakeTime()
        self.standin = KvStandin()
        self.fleet = [self.new_instance() for _ in range(N_INSTANCES)]
        self.highest = [instance.order() for instance in self.fleet]
        self.accepted = {}

    def new_instance(self):
        return Instance(self.time, self.standin, lambda: self.fleet)

    @rule(index=instances, fates=FATES, floor=st.sampled_from([0.1, 0.2, 0.3]))
    def apply(self, index, fates, floor):
        self.time.advance(1.0)
        instance = self.fleet[index]
        rival = self.fleet[(index + 1) % N_INSTANCES]

        def overtake():
            rival.acceptance._fetch_from_peers(NAME)
            self.accept(rival, 0.7)

        instance.http.fates = [
            (fate, overtake if argument is True else argument)
            for fate, argument in fates
        ]
        self.accept(instance, floor)
        instance.http.fates = []

    def accept(self, instance, floor):
        expected = instance.table.get(NAME).version
        author = f"author-{len(self.accepted)}-{floor}"
        result = instance.acceptance.apply(NAME, profile(floor), expected, author)
        if result.is_ok():
            record = result.ok
            assert self.accepted.setdefault(record.version, record.raw) == record.raw
            assert instance.order() >= order_of(record)

    @rule(index=instances, fates=FATES)
    def read_kv(self, index, fates):
        instance = self.fleet[index]
        plain = [fate for fate in fates if fate[1] is not True]
        instance.http.fates = plain
        entry = instance.kv.get(key_of(NAME))
        if entry.is_ok():
            instance.acceptance.reconcile(NAME, entry.ok)
        instance.http.fates = []

    @rule(source=instances, sink=instances)
    def push(self, source, sink):
        for record in self.fleet[source].pending:
            self.fleet[sink].table.offer(from_wire(to_wire(record)).ok)

    @rule(index=instances)
    def lose_pushes(self, index):
        self.fleet[index].pending.clear()

    @rule(index=instances)
    def restart(self, index):
        """Restart, unless only this instance knows a version that the service lost."""
        others = [i for n, i in enumerate(self.fleet) if n != index]
        if max(i.order() for i in others) < self.fleet[index].order():
            return
        self.fleet[index] = self.new_instance()
        self.highest[index] = self.fleet[index].order()

    @rule(duration_ms=st.sampled_from([50.0, 40_000.0]))
    def pass_time(self, duration_ms):
        self.time.advance(duration_ms)

    @rule()
    def take_snapshot(self):
        self.standin.take_snapshot()

    @precondition(lambda self: self.accepted)
    @rule()
    def restore(self):
        self.standin.restore()

    @invariant()
    def no_version_decreases(self):
        for index, instance in enumerate(self.fleet):
            assert instance.order() >= self.highest[index]
            self.highest[index] = instance.order()

    def teardown(self):
        self.time.advance(100_000.0)
        for _ in range(2):
            for instance in self.fleet:
                instance.acceptance.apply(NAME, {}, 0)
                instance.acceptance._fetch_from_peers(NAME)
                entry = instance.kv.get(key_of(NAME)).ok
                instance.acceptance.reconcile(NAME, entry)
        orders = {instance.order() for instance in self.fleet}
        assert len(orders) == 1
        newest = max(self.accepted, default=0)
        record = self.fleet[0].table.get(NAME)
        assert record.version >= newest
        if record.version == newest and newest:
            assert record.raw == self.accepted[newest]
        if newest:
            entry = self.fleet[0].kv.get(key_of(NAME)).ok
            assert not self.fleet[0].acceptance.reconcile(NAME, entry)


TestProfiles = Profiles.TestCase
TestProfiles.settings = settings(max_examples=120, stateful_step_count=25)


def pair_after(fate):
    """Apply a change with ``fate``, during which another instance applies its own."""
    time, standin, fleet = FakeTime(), KvStandin(), []
    fleet += [Instance(time, standin, lambda: fleet) for _ in range(2)]
    one, other = fleet
    one.acceptance.apply(NAME, profile(0.1), 0, "first")

    def overtake():
        other.acceptance._fetch_from_peers(NAME)
        entry = other.kv.get(key_of(NAME)).ok
        other.acceptance.reconcile(NAME, entry)
        version = other.table.get(NAME).version
        other.acceptance.apply(NAME, profile(0.2), version, "other")

    # The calls are: read, commit, read back, commit again, read the history.
    one.http.fates = [("answer", None), *fate(overtake)]
    return one.acceptance.apply(NAME, profile(0.3), 1, "one")


def test_unknown_commit_behind_another_change_is_a_conflict():
    result = pair_after(
        lambda overtake: [("ignored", None), ("answer", None), ("overtaken", overtake)]
    )
    assert (result.error.found_version, result.error.author) == (2, "other")


def test_unknown_commit_that_was_replaced_later_is_accepted():
    result = pair_after(lambda overtake: [("lost_then_overtaken", overtake)])
    assert (result.ok.version, result.ok.author) == (2, "one")


def test_version_of_a_newer_program_is_neither_used_nor_overwritten():
    time, standin, fleet = FakeTime(), KvStandin(), []
    fleet.append(Instance(time, standin, lambda: fleet))
    (one,) = fleet
    one.acceptance.apply(NAME, profile(0.1), 0, "first")
    newer = {"version": 2, "profile": {"work_classes": "of another shape"}}
    entry = one.kv.get(key_of(NAME)).ok
    put = Put(key_of(NAME), msgspec.json.encode(newer))
    one.kv.commit(Transaction((Compare(put.key, entry.mod_revision),), (put,)))
    entry = one.kv.get(key_of(NAME)).ok
    assert not one.acceptance.reconcile(NAME, entry)
    refused = one.acceptance.apply(NAME, profile(0.2), 1, "one")
    assert refused.error.code == "profile-unreadable"
    assert one.table.get(NAME).version == 1
    assert one.kv.get(key_of(NAME)).ok == entry
