"""The lease holder never claims a lease that is gone, whatever faults occur."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.store.lease import LeaseHolder
from buckthornrock.telemetry import Telemetry, open_log, open_metrics

from .fake_kv import FakeLeases, FakeTime

TTL_S = 10
GUARD_KEY = "instances/a/run"
TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))
DELAYS_MS = st.sampled_from([0.0, 10.0, 900.0, 4_000.0, 9_999.0, 25_000.0])


def new_holder():
    time = FakeTime()
    leases = FakeLeases(time)
    clock = time.clock()
    holder = LeaseHolder(leases.port(), TTL_S, clock.now_ms, TELEMETRY, GUARD_KEY)
    return time, leases, holder


class LeaseMachine(RuleBasedStateMachine):
    """Steps with delays before and after each effect, lost answers, early expiry."""

    def __init__(self):
        super().__init__()
        self.time, self.leases, self.holder = new_holder()
        self.dropped_early = set()
        self.expired_epochs = set()

    @rule(
        fate=st.sampled_from(["answer", "answer", "lose", "refuse"]),
        before_ms=DELAYS_MS,
        after_ms=DELAYS_MS,
    )
    def step(self, fate, before_ms, after_ms):
        self.leases.fate = fate
        self.leases.delays_ms = (before_ms, after_ms)
        self.holder.step()
        self.leases.fate = "answer"
        self.leases.delays_ms = (0.0, 0.0)

    @rule(duration_ms=st.sampled_from([1.0, 500.0, 3_000.0, 9_000.0, 60_000.0]))
    def pause(self, duration_ms):
        self.time.advance(duration_ms)

    @rule()
    def service_drops_lease_early(self):
        self.dropped_early.update(self.leases.due_ms)
        self.leases.due_ms.clear()

    @invariant()
    def held_lease_exists_at_the_service(self):
        if not self.holder.holds(self.time.now_ms, 0.0):
            return
        lease_id = self.holder.lease_id
        assert self.leases.exists(lease_id) or lease_id in self.dropped_early

    @invariant()
    def expired_epoch_is_never_held_again(self):
        if not self.holder.holds(self.time.now_ms, 0.0):
            self.expired_epochs.add(self.holder.epoch)
            return
        assert self.holder.epoch not in self.expired_epochs

    @invariant()
    def guard_fails_once_the_lease_is_gone(self):
        guard = self.holder.guard()
        if guard and self.leases.guard_holds(guard):
            assert self.leases.exists(self.holder.lease_id)

    def teardown(self):
        self.time.advance(60_000.0)
        assert not self.holder.holds(self.time.now_ms, 0.0)
        self.holder.step()
        assert self.holder.holds(self.time.now_ms)
        assert self.leases.guard_holds(self.holder.guard())


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(max_examples=150, stateful_step_count=25)


def test_epoch_rises_with_a_new_lease():
    time, leases, holder = new_holder()
    holder.step()
    first = (holder.epoch, holder.lease_id)
    time.advance(TTL_S * 1000.0)
    holder.step()
    assert holder.epoch == first[0] + 1
    assert holder.lease_id != first[1]


def test_lease_that_is_gone_is_dropped_at_the_next_renewal():
    time, leases, holder = new_holder()
    holder.step()
    leases.due_ms.clear()
    time.advance(TTL_S * 500.0)
    leases.fate = "answer"
    holder.step()
    assert holder.lease_id == 0
    holder.step()
    assert holder.holds(time.now_ms)


def test_closed_holder_revokes_its_lease():
    time, leases, holder = new_holder()
    holder.step()
    holder.close()
    holder.step()
    assert not holder.holds(time.now_ms, 0.0)
    assert leases.due_ms == {}


def test_late_answer_does_not_revive_an_expired_lease():
    time, leases, holder = new_holder()
    holder.step()
    time.advance(9_000.0)
    seen = []
    time.call_at(10_500.0, lambda: seen.append(holder.holds(time.now_ms, 0.0)))
    leases.delays_ms = (900.0, 900.0)
    holder.step()
    assert seen == [False]
    assert not holder.holds(time.now_ms, 0.0)
