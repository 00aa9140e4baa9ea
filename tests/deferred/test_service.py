"""Acceptance, blobs, idempotency keys, outages, claims and retention."""

import sys
from pathlib import Path

import pytest
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent))
from fleet import (  # noqa: E402
    CONFIG,
    HOUR_MS,
    IDS,
    Fleet,
    expected_answer,
    replace_run,
    submission,
)

from buckthornrock.deferred.blobs import BlobStore  # noqa: E402
from buckthornrock.deferred.claims import read_claim_lease  # noqa: E402
from buckthornrock.deferred.packing import Blob, pack, unpack  # noqa: E402
from buckthornrock.deferred.records import part_key, pin_key  # noqa: E402
from buckthornrock.deferred.scan import take_over  # noqa: E402
from buckthornrock.dispatch.errors import ResponseIncomplete  # noqa: E402
from buckthornrock.entry.errors import BadRequest  # noqa: E402
from buckthornrock.routing.errors import NoEngine  # noqa: E402
from buckthornrock.upstreams.errors import AttemptFailed  # noqa: E402


def make_fleet(n_instances=1, config=CONFIG):
    fleet = Fleet(n_instances, config)
    for name in fleet.instances:
        fleet.step(name, "lease")
    return fleet


def view(fleet, name, job_id, job):
    service = fleet.instances[name].service
    return service.read(job.client_account, job.member, job_id).ok


def accept(fleet, name, *jobs):
    for job in jobs:
        assert fleet.submit(name, job).is_ok()
    fleet.step(name, "commit")
    return list(fleet.accepted())


def test_many_jobs_are_one_commit():
    fleet = make_fleet()
    before = fleet.kv.n_commits
    ids = accept(fleet, "i0", *(submission(f"job {i}") for i in range(400)))
    assert len(set(ids)) == 400
    assert fleet.kv.n_commits - before == 1


def test_write_budget_spaces_commits_by_fleet_size():
    config = CONFIG._replace(fleet_writes_per_s=150.0)
    fleet = make_fleet(1, config)
    for index in range(1, 340):
        fleet.instances[f"j{index}"] = None
    before = fleet.kv.n_commits
    for _ in range(200):
        fleet.submit("i0", submission("x"))
        fleet.step("i0", "commit")
        fleet.kv.advance(50.0)
    # 10 s at 150 / 340 commit steps per second; one step may commit twice.
    assert fleet.kv.n_commits - before <= 2 * (1 + 10 * 150 / 340)


def test_shared_prefix_is_stored_once():
    fleet = make_fleet()
    contract = "clause " * 60_000
    jobs = [
        submission(contract + f"lot {i}", prefix_levels=[10, len(contract)])
        for i in range(30)
    ]
    ids = accept(fleet, "i0", *jobs)
    assert len(ids) == 30
    n_bytes = sum(len(entry.value) for entry in fleet.kv.entries.values())
    assert n_bytes < 1.2 * len(contract)
    fleet.settle()
    for job_id, job in zip(ids, jobs, strict=True):
        assert view(fleet, "i0", job_id, job).answer == expected_answer(job)


def test_prefix_is_not_shared_between_members():
    fleet = make_fleet()
    text = "clause " * 1_000
    for member in "xy":
        job = submission(text, member=member, prefix_levels=[len(text)])
        accept(fleet, "i0", job)
    pins = [key for key in fleet.kv.entries if "/q/" in key]
    assert len(pins) == 2


@pytest.mark.parametrize("n_bytes", [150_000, 900_000, 3_000_000])
def test_large_prompt_and_result_are_stored_and_read_whole(n_bytes):
    fleet = make_fleet(2)
    job = submission("z" * n_bytes)
    answer = {"text": "y" * n_bytes}
    ids = accept(fleet, "i0", job)
    seen = []

    def run_job(job_id, run, control):
        seen.append(run.body)
        return Ok(answer)

    service = fleet.instances["i0"].service
    replace_run(service, run_job)
    fleet.step("i0", "run")
    fleet.step("i0", "commit")
    assert seen == [job.body]
    assert view(fleet, "i1", ids[0], job).answer == answer


KEYS = [("k", "same", "k", "same", 1), ("k", "one", "k", "other", None)]


@pytest.mark.parametrize(("key", "text", "key_2", "text_2", "n_ids"), KEYS)
@pytest.mark.parametrize("is_same_commit", [True, False])
def test_idempotency_key_names_one_job(key, text, key_2, text_2, n_ids, is_same_commit):
    fleet = make_fleet(2)
    first = fleet.submit("i0", submission(text, key=key)).ok
    if not is_same_commit:
        fleet.step("i0", "commit")
    second = fleet.submit("i1", submission(text_2, key=key_2)).ok
    for name in ("i0", "i1", "i0", "i1"):
        fleet.step(name, "commit")
    if n_ids == 1:
        assert first.result.ok == second.result.ok
        return
    results = [first.result, second.result]
    assert [r.error.code for r in results if r.is_error()] == ["key-reused"]


def test_same_key_twice_in_one_segment_is_one_job():
    fleet = make_fleet()
    submissions = [fleet.submit("i0", submission("x", key="k")).ok for _ in range(3)]
    for _ in range(3):
        fleet.step("i0", "commit")
    assert len({pending.result.ok for pending in submissions}) == 1


def test_refusal_during_outage_says_that_the_job_was_not_run():
    fleet = make_fleet()
    fleet.kv.is_down = True
    service = fleet.instances["i0"].service
    result = service.submit(submission("x"))
    fleet.kv.is_down = False
    fleet.settle()
    assert result.error.not_run == "true"
    assert not fleet.runs


@pytest.mark.parametrize("fault", ["lost", "dropped"])
def test_unknown_commit_result_is_settled_by_retry(fault):
    fleet = make_fleet()
    pending = fleet.submit("i0", submission("x")).ok
    fleet.kv.faults.append(fault)
    fleet.step("i0", "commit")
    assert pending.result is None
    fleet.step("i0", "commit")
    assert pending.result.is_ok()
    fleet.settle()
    assert len(fleet.runs) == 1


def test_timed_out_submission_that_was_sent_has_unknown_result():
    fleet = make_fleet()
    pending = fleet.submit("i0", submission("x")).ok
    fleet.kv.faults.append("dropped")
    fleet.step("i0", "commit")
    fleet.instances["i0"].service._submission_queue.abandon(pending)
    assert pending.result.error.not_run == "unknown"


def test_held_jobs_run_during_an_outage_and_are_saved_after_it():
    fleet = make_fleet(2)
    jobs = [submission(f"note {i}") for i in range(10)]
    ids = accept(fleet, "i0", *jobs)
    fleet.kv.is_down = True
    for _ in range(20):
        fleet.kv.advance(1_000.0)
        for name in ("i0", "i1"):
            for step in ("lease", "scan", "run", "commit"):
                fleet.step(name, step)
    assert len(fleet.runs) == 10
    fleet.settle(n_rounds=10)
    for job_id, job in zip(ids, jobs, strict=True):
        assert view(fleet, "i1", job_id, job).answer == expected_answer(job)
    assert len(fleet.runs) == 10


def test_holder_whose_lease_lapsed_starts_no_job():
    fleet = make_fleet(2)
    accept(fleet, "i0", *(submission(f"note {i}") for i in range(4)))
    fleet.kv.advance(30_000.0)
    for _ in range(4):
        fleet.step("i0", "run")
    assert fleet.runs == []


def test_new_lease_does_not_start_jobs_that_another_instance_took_over():
    fleet = make_fleet(2)
    accept(fleet, "i0", *(submission(f"note {i}") for i in range(4)))
    fleet.kv.advance(30_000.0)
    # Segment ids are random, so i1 may not own the shard; random extra shards of many
    # scans find the segment anyway.
    for _ in range(400):
        fleet.step("i1", "lease")
        fleet.step("i1", "scan")
    fleet.step("i0", "lease")
    for _ in range(4):
        fleet.step("i0", "run")
        fleet.step("i1", "run")
    assert {name for name, _ in fleet.runs} == {"i1"}
    assert len(fleet.runs) == 4


def test_running_job_is_told_that_the_lease_lapsed():
    fleet = make_fleet(1)
    accept(fleet, "i0", submission("note"))
    seen = []

    def run_job(job_id, job, control):
        seen.append(control.is_lost())
        fleet.kv.advance(15_000.0)
        seen.append(control.is_lost())
        return Ok({})

    service = fleet.instances["i0"].service
    replace_run(service, run_job)
    fleet.step("i0", "run")
    assert seen == [False, True]


def test_only_one_of_two_instances_takes_over_a_segment():
    fleet = make_fleet(1, CONFIG._replace(max_held_jobs=0))
    accept(fleet, "i0", submission("note"))
    (key,) = [key for key in fleet.kv.entries if "/s/" in key]
    segment_id = key.rpartition("/")[2]
    adopted = []
    for name in ("x", "y"):
        instance = fleet.start(name)
        instance.lease.step()
        claim_lease = read_claim_lease(instance.service._context.lease, name)
        port = instance.connection.port()
        adopted.append(take_over(port, segment_id, claim_lease, claim_revision=0).ok)
    assert [one is not None for one in adopted] == [True, False]


def test_blob_is_not_pinned_after_its_parts_were_deleted():
    fleet = make_fleet(1)
    kv = fleet.kv
    blob = Blob("p1", b"x" * 5_000)
    apply = kv.apply

    def apply_after_deletion(transaction):
        if any(write.key == pin_key("p1") for write in transaction.writes):
            kv.entries.pop(part_key("p1", 0), None)
        return apply(transaction)

    kv.apply = apply_after_deletion
    port = fleet.instances["i0"].connection.port()
    assert BlobStore(port).ensure(blob, HOUR_MS).is_error()


VERDICTS = [
    (NoEngine("small"), 10, "done", ""),
    (AttemptFailed("e", "x", "unknown"), 2, "done", ""),
    (AttemptFailed("e", "x", "unknown"), 9, "failed", "attempt-failed"),
    (ResponseIncomplete(3, "x"), 9, "failed", "answer-incomplete"),
    (BadRequest("$", "x"), 1, "failed", "bad-request"),
]


@pytest.mark.parametrize(("failure", "n_failures", "state", "code"), VERDICTS)
def test_failed_runs_are_retried_within_limits(failure, n_failures, state, code):
    fleet = make_fleet()
    job = submission("x", deadline_ms=10 * HOUR_MS)
    ids = accept(fleet, "i0", job)
    fleet.failures = [failure] * n_failures
    fleet.settle(n_rounds=80, step_ms=9_000.0)
    found = view(fleet, "i0", ids[0], job)
    assert (found.state, found.failure_code) == (state, code)


def test_job_that_kills_its_holders_fails_and_others_of_its_segment_run():
    fleet = make_fleet()
    jobs = [submission("poison"), submission("good", account="b")]
    ids = accept(fleet, "i0", *jobs)

    def run_job(instance):
        def run(job_id, job, control):
            if job.body["prompt"] == "poison":
                instance.connection.n_calls_left = 0
                instance.service.stop()
            return instance.run_job(job_id, job, control)

        return run

    for index in range(20):
        name = f"n{index}"
        fleet.instances.clear()
        instance = fleet.start(name)
        replace_run(instance.service, run_job(instance))
        for step in ("lease", "scan", "run", "commit", "run", "commit"):
            if name in fleet.instances:
                fleet.step(name, step)
        fleet.kv.advance(11_000.0)
    fleet.instances.clear()
    reader = fleet.start("reader").service
    poison = reader.read("a", "m", ids[0]).ok
    good = reader.read("b", "m", ids[1]).ok
    assert (poison.state, poison.failure_code) == ("failed", "holders-lost")
    assert good.state == "done"


def test_job_past_its_deadline_expires_and_never_runs():
    fleet = make_fleet()
    job = submission("x", deadline_ms=1_000)
    ids = accept(fleet, "i0", job)
    fleet.settle(n_rounds=3)
    assert view(fleet, "i0", ids[0], job).state == "expired"
    assert not fleet.runs


def test_cancelled_job_stays_cancelled():
    fleet = make_fleet(2)
    job = submission("x")
    ids = accept(fleet, "i0", job)
    fleet.instances["i1"].service.cancel("a", "m", ids[0])
    fleet.settle(n_rounds=5)
    assert view(fleet, "i0", ids[0], job).state == "cancelled"
    assert not [key for key in fleet.kv.entries if "/s/" in key or "/i/" in key]


def test_everything_is_deleted_after_its_retention():
    fleet = make_fleet()
    text = "clause " * 1_000
    jobs = [submission(text + str(i), prefix_levels=[len(text)]) for i in range(3)]
    ids = accept(fleet, "i0", *jobs, submission("k", key="k"))
    fleet.settle()
    fleet.step("i0", "collect")
    assert view(fleet, "i0", ids[0], jobs[0]).state == "done"
    for _ in range(40):
        fleet.kv.advance(HOUR_MS)
        for _ in range(3):
            fleet.step("i0", "collect")
    kinds = {key.split("/")[1] for key in fleet.kv.entries if "deferred" in key}
    assert kinds == {"trash-cursor"}


def test_full_instance_leaves_segments_unclaimed_for_others():
    fleet = make_fleet(2, CONFIG._replace(max_held_jobs=5))
    accept(fleet, "i0", *(submission(f"a{i}") for i in range(5)))
    accept(fleet, "i0", *(submission(f"b{i}") for i in range(5)))
    # Segment ids are random, so i1 may not own the shards; random extra shards of many
    # scans find the segments anyway.
    for _ in range(400):
        fleet.step("i1", "scan")
    while fleet.instances["i1"].service.run_next():
        pass
    assert {name for name, _ in fleet.runs} == {"i1"}
    assert len(fleet.runs) == 5


texts = st.text(alphabet="aé€", min_size=0, max_size=3_000)


@given(texts, st.lists(st.integers(0, 9_000), max_size=3), st.text(max_size=5))
def test_unpacking_reverses_packing(text, levels, adapter):
    job = submission(text * 3, prefix_levels=sorted(set(levels)), adapter=adapter)
    packed = pack(job, IDS, 0)
    contents = {blob.blob_id: blob.content for blob in packed.blobs}
    prefix = contents.get(packed.job.prefix_id, b"")
    blob = contents.get(packed.job.blob_id, b"")
    assert unpack(packed.job, prefix, blob) == job
