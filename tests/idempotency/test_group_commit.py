"""A joint commit gives each transaction the outcome of a commit of its own."""

import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.idempotency.group_commit import GroupCommitter, commit_together
from buckthornrock.store import CommitUnknown, Compare, Put, Transaction
from tests.idempotency.fakes import FakeKv


def create(key, value=b"v"):
    return Transaction((Compare(key, 0),), (Put(key, value),))


@given(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 9)))
def test_joint_commit_has_the_outcomes_of_single_commits(present, wanted):
    together, alone = FakeKv(), FakeKv()
    for number in present:
        together.commit(create(f"k{number}", b"old"))
        alone.commit(create(f"k{number}", b"old"))
    transactions = [create(f"k{number}") for number in sorted(wanted)]
    found = commit_together(together.commit, transactions)
    expected = [alone.commit(t) for t in transactions]
    assert [type(o) for o in found] == [type(o) for o in expected]
    for outcome, other in zip(found, expected, strict=True):
        if hasattr(outcome, "entries"):
            assert [e.value for e in outcome.entries] == [
                e.value for e in other.entries
            ]
    values = {key: entry.value for key, entry in together.entries.items()}
    assert values == {key: entry.value for key, entry in alone.entries.items()}


def test_lost_response_is_unknown_for_all():
    kv = FakeKv()
    kv.fault = "lost"
    outcomes = commit_together(kv.commit, [create("a"), create("b")])
    assert all(isinstance(outcome, CommitUnknown) for outcome in outcomes)


@pytest.mark.parametrize("n_threads", [1, 40])
def test_concurrent_commits_are_batched(n_threads):
    kv = FakeKv()
    gate = threading.Event()
    first = threading.Event()

    def commit(transaction):
        first.set()
        gate.wait(10)
        return kv.commit(transaction)

    committer = GroupCommitter(commit)
    threads = [
        threading.Thread(target=committer.commit, args=(create(f"k{i}"),))
        for i in range(n_threads)
    ]
    threads[0].start()
    first.wait(10)
    for thread in threads[1:]:
        thread.start()
    while len(committer._queue) < n_threads - 1:
        pass
    gate.set()
    for thread in threads:
        thread.join(10)
    assert len(kv.entries) == n_threads
    assert kv.n_writes <= 2


def test_commit_that_raises_is_unknown_for_all_that_wait():
    def commit(transaction):
        raise ValueError("a malformed response")

    committer = GroupCommitter(commit)
    assert committer.commit(create("a")) == CommitUnknown("ValueError")
    assert committer.commit(create("b")) == CommitUnknown("ValueError")
