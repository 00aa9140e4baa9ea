"""Stateful test: under any faults, accepted jobs have a result or can be claimed."""

import sys
from pathlib import Path

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

sys.path.insert(0, str(Path(__file__).parent))
from fleet import HOUR_MS, IDS, Fleet, expected_answer, submission  # noqa: E402

from buckthornrock.deferred.records import (  # noqa: E402
    Outcomes,
    outcomes_key,
    segment_key,
    summary_key,
)
from buckthornrock.upstreams.errors import AttemptFailed  # noqa: E402

STEPS = ["lease", "commit", "scan", "run"]
INSTANCES = ["i0", "i1", "i2"]


class Lifecycle(RuleBasedStateMachine):
    """One to three instances, one key-value service and faults at any step."""

    @initialize(n_instances=st.integers(1, 3))
    def start(self, n_instances):
        self.fleet = Fleet(n_instances)
        self.finals = {}
        self.n_jobs = 0
        for name in self.fleet.instances:
            self.fleet.step(name, "lease")

    def pick(self, index):
        names = sorted(self.fleet.instances)
        return names[index % len(names)]

    has_instances = precondition(lambda self: self.fleet.instances)

    @has_instances
    @rule(
        index=st.integers(0, 2),
        account=st.sampled_from("ab"),
        key=st.sampled_from(["", "", "k1", "k2"]),
        size=st.sampled_from([10, 10, 3_000, 150_000]),
        hours=st.integers(1, 3),
    )
    def submit(self, index, account, key, size, hours):
        self.n_jobs += 1
        text = "shared " * (size // 7) + (key or f"job {self.n_jobs}")
        levels = [size // 7 * 7] if size > 2_000 else []
        job = submission(
            text,
            account,
            key=key,
            deadline_ms=self.fleet.kv.now_ms + hours * HOUR_MS,
            prefix_levels=levels,
        )
        self.fleet.submit(self.pick(index), job)

    @has_instances
    @rule(index=st.integers(0, 2), step=st.sampled_from(STEPS))
    def take_step(self, index, step):
        self.fleet.step(self.pick(index), step)

    @has_instances
    @rule(index=st.integers(0, 2))
    def work(self, index):
        name = self.pick(index)
        for step in ("commit", "run", "run", "commit"):
            if name in self.fleet.instances:
                self.fleet.step(name, step)

    @has_instances
    @rule(
        index=st.integers(0, 2),
        step=st.sampled_from(STEPS),
        n_calls=st.integers(0, 4),
        is_applied=st.booleans(),
    )
    def kill_during(self, index, step, n_calls, is_applied):
        name = self.pick(index)
        connection = self.fleet.instances[name].connection
        connection.n_calls_left, connection.is_applied = n_calls, is_applied
        self.fleet.step(name, step)
        self.fleet.instances.pop(name, None)

    @has_instances
    @rule(index=st.integers(0, 2))
    def kill_while_running(self, index):
        name = self.pick(index)

        def kill(instance):
            instance.connection.n_calls_left = 0

        self.fleet.during_run = [kill]
        self.fleet.step(name, "run")
        self.fleet.during_run = []
        if name in self.fleet.instances:
            self.fleet.step(name, "commit")
            connection = self.fleet.instances.get(name)
            if connection is not None:
                connection.connection.n_calls_left = None

    @has_instances
    @rule(index=st.integers(0, 2))
    def lapse_while_running(self, index):
        """Pause during a run, so that another instance may take over and finish."""
        name = self.pick(index)

        def pause(instance):
            self.fleet.kv.advance(15_000.0)
            for other in tuple(self.fleet.instances):
                if other != instance.name:
                    for step in ("lease", "scan", "run", "commit"):
                        self.fleet.step(other, step)

        self.fleet.during_run = [pause]
        self.fleet.step(name, "run")
        self.fleet.during_run = []

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        if INSTANCES[index] not in self.fleet.instances:
            self.fleet.start(INSTANCES[index])
            self.fleet.step(INSTANCES[index], "lease")

    @has_instances
    @rule(index=st.integers(0, 2))
    def stop_gracefully(self, index):
        name = self.pick(index)
        self.fleet.instances[name].service.stop()
        self.fleet.instances[name].service.close()
        del self.fleet.instances[name]

    @rule(faults=st.lists(st.sampled_from(["lost", "dropped", "late"]), max_size=3))
    def lose_answers(self, faults):
        self.fleet.kv.faults.extend(faults)

    @rule()
    def late_write_arrives(self):
        self.fleet.kv.apply_late()

    @rule(is_down=st.booleans())
    def outage(self, is_down):
        self.fleet.kv.is_down = is_down

    @rule(step_ms=st.sampled_from([1_000.0, 12_000.0, 0.6 * HOUR_MS]))
    def wait(self, step_ms):
        self.fleet.kv.advance(step_ms)

    @rule()
    def runs_fail(self):
        self.fleet.failures.append(AttemptFailed("e", "x", "unknown"))

    @has_instances
    @rule(index=st.integers(0, 2))
    def run_raises(self, index):
        def fail(instance):
            raise RuntimeError("an unforeseen fault")

        self.fleet.during_run = [fail]
        self.fleet.step(self.pick(index), "run")
        self.fleet.during_run = []

    @has_instances
    @rule(index=st.integers(0, 2), number=st.integers(0, 9))
    def cancel(self, index, number):
        jobs = sorted(self.fleet.accepted().items())
        if jobs and self.fleet.instances:
            job_id, job = jobs[number % len(jobs)]
            service = self.fleet.instances[self.pick(index)].service
            service.cancel(job.client_account, job.member, job_id)

    def outcome(self, job_id):
        segment_id, index, _ = job_id.split("-")
        entry = self.fleet.kv.entries.get(outcomes_key(segment_id))
        assert entry is not None, "an accepted job is gone"
        outcomes = msgspec.msgpack.decode(entry.value, type=Outcomes)
        return segment_id, outcomes.jobs[int(index)]

    @invariant()
    def accepted_implies_result_or_claimable(self):
        if not hasattr(self, "fleet"):
            return
        for job_id in self.fleet.accepted():
            segment_id, outcome = self.outcome(job_id)
            if outcome.is_final:
                # A job has exactly one result: the first one must never change.
                assert self.finals.setdefault(job_id, outcome) == outcome
                continue
            assert segment_key(segment_id) in self.fleet.kv.entries
            assert summary_key(segment_id) in self.fleet.kv.entries

    def teardown(self):
        """Check that all accepted jobs have ended once the faults are over."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.failures.clear()
        while fleet.kv.late:
            fleet.kv.apply_late()
        fleet.settle()
        self.accepted_implies_result_or_claimable()
        reader = next(iter(fleet.instances.values())).service
        for job_id, job in fleet.accepted().items():
            view = reader.read(job.client_account, job.member, job_id).ok
            assert view.state in ("done", "cancelled", "expired", "failed")
            if view.state == "done":
                assert view.answer == expected_answer(job)
            assert reader.read("other", job.member, job_id).error.code == "unknown-job"
        for instance in fleet.instances.values():
            assert all(pending.result is not None for pending in instance.submissions)
        assert not [k for k in fleet.kv.entries if "/i/" in k or "/s/" in k]


TestLifecycle = Lifecycle.TestCase
TestLifecycle.settings = settings(max_examples=60, stateful_step_count=40)


def test_malformed_id_is_not_parsed():
    assert IDS.parse("x", "a", "m") is None
