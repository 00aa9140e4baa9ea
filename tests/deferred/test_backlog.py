"""Order of deferred jobs: deadlines, fairness of accounts, shared prefixes. Job ids."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornrock.deferred.backlog import Backlog, HeldJob
from buckthornrock.deferred.ids import JobAddress, open_job_ids
from buckthornrock.deferred.records import Job

HOUR_MS = 3_600_000


def held(index, account="a", deadline_ms=HOUR_MS, prefix="", accepted_ms=0):
    job = Job(
        account, "m", "p", "c", "completion", accepted_ms, deadline_ms, b"", b"", ""
    )
    job = Job(*(getattr(job, name) for name in job.__struct_fields__[:-1]), prefix)
    return HeldJob(JobAddress("s", index), job)


def drain(backlog, wall_ms=0):
    taken = []
    while (one := backlog.pop_next(wall_ms)) is not None:
        taken.append(one)
    return taken


@given(st.lists(st.integers(1, 10 * HOUR_MS), min_size=1, max_size=30))
def test_one_accounts_jobs_run_by_deadline(deadlines):
    backlog = Backlog()
    backlog.add(held(i, deadline_ms=d) for i, d in enumerate(deadlines))
    taken = [one.job.deadline_wall_ms for one in drain(backlog)]
    assert taken == sorted(deadlines)


def test_small_account_is_not_starved_by_a_large_one():
    backlog = Backlog()
    backlog.add(held(i, "large", deadline_ms=HOUR_MS) for i in range(100))
    backlog.add(held(100 + i, "small", deadline_ms=9 * HOUR_MS) for i in range(5))
    first = [one.job.client_account for one in drain(backlog)[:10]]
    assert first.count("small") >= 4


def test_shared_prefixes_run_together_while_there_is_slack():
    backlog = Backlog()
    for index in range(12):
        prefix = "xy"[index % 2]
        backlog.add([held(index, deadline_ms=HOUR_MS + index, prefix=prefix)])
    prefixes = "".join(one.job.prefix_id for one in drain(backlog))
    assert prefixes == "xxxxxxyyyyyy"


def test_near_deadline_takes_precedence_over_shared_prefix():
    backlog = Backlog()
    backlog.add([held(0, prefix="x"), held(1, prefix="x", deadline_ms=2 * HOUR_MS)])
    backlog.add([held(2, prefix="y", deadline_ms=HOUR_MS + 1)])
    near_ms = int(0.8 * HOUR_MS)
    assert [one.address.index for one in drain(backlog, near_ms)] == [0, 2, 1]


RANKS = [(0.0, 2), (0.5, 2), (0.8, 1), (0.95, 0)]


@pytest.mark.parametrize(("part", "rank"), RANKS)
def test_rank_improves_as_the_deadline_nears(part, rank):
    backlog = Backlog()
    backlog.add([held(0)])
    wall_ms = int(part * HOUR_MS)
    backlog.update_projection(wall_ms)
    assert backlog.rank(backlog.pop_next(wall_ms), 2, wall_ms) == rank


def test_jobs_projected_to_miss_their_deadline_run_first():
    backlog = Backlog()
    backlog.add(held(i, "a", deadline_ms=20 * HOUR_MS) for i in range(100))
    for step in range(20):
        backlog.finish(backlog.pop_next(0), step * 60_000.0)
    backlog.add(held(200 + i, "b", deadline_ms=HOUR_MS) for i in range(60))
    backlog.update_projection(0)
    taken = [one.job.client_account for one in drain(backlog)]
    # At a projected 90 s per job, the last of 60 jobs would miss its deadline of 1 h.
    first_late = backlog.rank(held(259, "b"), 2, 0)
    assert first_late == 0
    assert taken[0] == "b"


@pytest.mark.parametrize("account", ["a", "b"])
def test_expired_jobs_are_removed(account):
    backlog = Backlog()
    backlog.add([held(0, account, 10), held(1, account, HOUR_MS)])
    assert [one.address.index for one in backlog.remove_expired(10)] == [0]
    assert backlog.n_waiting == 1


IDS = open_job_ids("a secret of the fleet")
ADDRESS = JobAddress("0" * 24, 7)


@given(st.text(max_size=60))
def test_text_that_is_no_job_id_is_not_parsed(text):
    assert IDS.parse(text, "a", "m") is None


@pytest.mark.parametrize(
    ("account", "member", "secret", "is_found"),
    [
        ("a", "m", "a secret of the fleet", True),
        ("b", "m", "a secret of the fleet", False),
        ("a", "n", "a secret of the fleet", False),
        ("", "am", "a secret of the fleet", False),
        ("a", "m", "another secret", False),
    ],
)
def test_id_is_parsed_only_for_its_owner_and_secret(account, member, secret, is_found):
    job_id = IDS.make(ADDRESS, "a", "m")
    found = open_job_ids(secret).parse(job_id, account, member)
    assert found == (ADDRESS if is_found else None)
