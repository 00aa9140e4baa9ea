"""Reported outcomes of commits match what the service did, then and later."""

import random
from base64 import b64encode

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.store import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitUnknown,
    Compare,
    Put,
    Transaction,
)
from buckthornrock.store.kv_client import KvClient
from buckthornrock.store.kv_codec import KvCodec

from .fake_kv import FakeHttp, FakeTime

KEY = "profiles/default"
LIMIT_MS = 1_500.0


class CommitHarness:
    """One client of the stand-in, without sockets."""

    def __init__(self):
        self.time = FakeTime()
        self.http = FakeHttp(self.time)
        self.n_commits = 0
        codec = KvCodec("btr/")
        self.client = KvClient(self.http, codec, self.time.clock(), random.Random(1))

    def revision(self):
        entry = self.client.get(KEY).ok
        return entry.mod_revision if entry else 0

    def write_other(self):
        """Write the key as another client would, without faults."""
        fates, rest = self.http.fates, self.http.rest
        self.http.fates, self.http.rest = [], "answer"
        self.commit_at(self.revision())
        self.http.fates, self.http.rest = fates, rest

    def commit_at(self, revision, fates=(), rest="answer"):
        """Commit a unique value; return it and the outcome."""
        self.n_commits += 1
        value = b"value-%d" % self.n_commits
        transaction = Transaction((Compare(KEY, revision),), (Put(KEY, value),))
        self.http.fates, self.http.rest = list(fates), rest
        outcome = self.client.commit(transaction, LIMIT_MS)
        self.http.fates, self.http.rest = [], "answer"
        return value, outcome

    def n_applied(self, value):
        suffix = b64encode(b"0" * 16 + value)[24:]
        applied = self.http.n_applied.items()
        return sum(n for key, n in applied if key.encode()[24:] == suffix)


PLAIN_FATES = ["answer", "unsent", "ignored", "lost"]


class CommitMachine(RuleBasedStateMachine):
    """Commits with lost, late and overtaken requests, outages and restored data."""

    def __init__(self):
        super().__init__()
        self.harness = CommitHarness()
        self.outcomes = []
        self.was_restored = False

    fates = st.lists(
        st.one_of(
            st.sampled_from([(fate, None) for fate in PLAIN_FATES]),
            st.tuples(st.just("late"), st.sampled_from([1.0, 60.0, 900.0, 9_000.0])),
            st.sampled_from([("overtaken", True), ("lost_then_overtaken", True)]),
        ),
        max_size=6,
    )

    @rule(
        fates=fates,
        rest=st.sampled_from(["answer", "unsent", "ignored"]),
        is_stale=st.booleans(),
    )
    def commit(self, fates, rest, is_stale):
        other = self.harness.write_other
        fates = [(fate, other if arg is True else arg) for fate, arg in fates]
        revision = max(0, self.harness.revision() - is_stale)
        self.outcomes.append(self.harness.commit_at(revision, fates, rest))

    @rule(duration_ms=st.sampled_from([10.0, 1_000.0, 20_000.0]))
    def pass_time(self, duration_ms):
        self.harness.time.advance(duration_ms)

    @rule()
    def take_snapshot(self):
        self.harness.http.standin.take_snapshot()

    @rule()
    def restore(self):
        self.was_restored = True
        self.harness.http.standin.restore()

    @invariant()
    def outcomes_are_true(self):
        for value, outcome in self.outcomes:
            n_applied = self.harness.n_applied(value)
            if isinstance(outcome, CommitDone):
                assert n_applied >= 1
            if isinstance(outcome, CommitConflict | CommitNotDone):
                assert n_applied == 0
            assert n_applied <= 1 or self.was_restored

    def teardown(self):
        self.harness.time.advance(100_000.0)
        self.outcomes_are_true()


TestCommitMachine = CommitMachine.TestCase
TestCommitMachine.settings = settings(max_examples=200, stateful_step_count=15)

RESOLVED_COMMITS = [
    ([], CommitDone, 1),
    ([("lost", None)], CommitDone, 1),
    ([("ignored", None), ("ignored", None)], CommitDone, 1),
    ([("late", 5.0), ("ignored", None)], CommitDone, 1),
    ([("unsent", None)], CommitDone, 1),
    ([("unsent", None)] * 50, CommitNotDone, 0),
    ([("ignored", None)] * 50, CommitUnknown, 0),
    # Every copy arrives late; the comparison lets only the first take effect.
    ([("late", 300.0)] * 50, CommitUnknown, 1),
]


@pytest.mark.parametrize(("fates", "expected", "n_applied"), RESOLVED_COMMITS)
def test_lost_answer_is_resolved_by_retries(fates, expected, n_applied):
    harness = CommitHarness()
    value, outcome = harness.commit_at(0, fates)
    assert type(outcome) is expected
    harness.time.advance(10_000.0)
    assert harness.n_applied(value) == n_applied


def test_outcome_is_unknown_if_overwritten_after_a_lost_answer():
    harness = CommitHarness()
    fates = [("lost_then_overtaken", harness.write_other)]
    value, outcome = harness.commit_at(0, fates)
    assert isinstance(outcome, CommitUnknown)
    assert outcome.entries[0].write_id != outcome.write_id
