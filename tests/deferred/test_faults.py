"""Regression tests: each guards against one fault found in a review of the code."""

import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from expression import Error, Ok

sys.path.insert(0, str(Path(__file__).parent))
from fake_platform import KilledError  # noqa: E402
from fleet import (  # noqa: E402
    CONFIG,
    HOUR_MS,
    Fleet,
    expected_answer,
    replace_run,
    submission,
)

from buckthornrock.deferred.blobs import BlobStore  # noqa: E402
from buckthornrock.deferred.held_segments import UnsavedOutcome  # noqa: E402
from buckthornrock.deferred.ids import JobAddress  # noqa: E402
from buckthornrock.deferred.packing import Blob  # noqa: E402
from buckthornrock.deferred.records import Outcome, claim_key, outcomes_key  # noqa: E402
from buckthornrock.deferred.scan import owned_shards  # noqa: E402
from buckthornrock.deferred.submission_queue import MAX_TRIES  # noqa: E402
from buckthornrock.entry.errors import UnknownWorkClass  # noqa: E402
from buckthornrock.routing.errors import NoEngine  # noqa: E402


def make_fleet(n_instances=1, config=CONFIG):
    fleet = Fleet(n_instances, config)
    for name in fleet.instances:
        fleet.step(name, "lease")
    return fleet


def accept(fleet, name, *jobs):
    for job in jobs:
        assert fleet.submit(name, job).is_ok()
    fleet.step(name, "commit")
    return list(fleet.accepted())


def view(fleet, name, job_id, job):
    service = fleet.instances[name].service
    return service.read(job.client_account, job.member, job_id).ok


def test_submission_is_accepted_after_another_instance_extended_the_pin():
    fleet = make_fleet(2)
    text = "clause " * 1_000

    def job(name, hours):
        return submission(
            text + name, deadline_ms=hours * HOUR_MS, prefix_levels=[len(text)]
        )

    accept(fleet, "i0", job("a", 1))
    accept(fleet, "i1", job("b", 48))
    submissions = [fleet.submit("i0", job(name, 1)).ok for name in ("c", "d")]
    for _ in range(2):
        fleet.step("i0", "commit")
    assert [pending.result.is_ok() for pending in submissions] == [True, True]
    before = fleet.kv.n_commits
    accept(fleet, "i0", job("e", 1))
    assert fleet.kv.n_commits - before == 1
    fleet.settle()
    assert len(fleet.accepted()) == 5
    for job_id, one in fleet.accepted().items():
        assert view(fleet, "i0", job_id, one).answer == expected_answer(one)


@pytest.mark.parametrize(
    ("n_raised", "state", "code"), [(1, "done", ""), (99, "failed", "run-broken")]
)
def test_run_that_raises_is_retried_and_keeps_its_worker(n_raised, state, code):
    fleet = make_fleet()
    job = submission("x", deadline_ms=10 * HOUR_MS)
    ids = accept(fleet, "i0", job)

    def fail(instance):
        raise RuntimeError("an unforeseen fault")

    fleet.during_run = [fail] * n_raised
    fleet.settle(n_rounds=80, step_ms=9_000.0)
    found = view(fleet, "i0", ids[0], job)
    assert (found.state, found.failure_code) == (state, code)


def test_starts_without_a_run_do_not_count_as_lost_holders():
    fleet = make_fleet()
    job = submission("x", deadline_ms=100 * HOUR_MS)
    ids = accept(fleet, "i0", job)
    for index in range(3):
        fleet.instances.clear()
        fleet.kv.advance(11_000.0)
        fleet.start(f"n{index}")
        for step in ("lease", "scan"):
            fleet.step(f"n{index}", step)
    fleet.failures = [NoEngine("small")] * 8
    fleet.settle(n_rounds=20, step_ms=70_000.0)
    assert view(fleet, "n2", ids[0], job).state == "done"


def test_claim_that_is_written_late_leaves_no_job_unheld():
    fleet = make_fleet(3)
    job = submission("x")
    ids = accept(fleet, "i0", job)
    del fleet.instances["i0"]
    fleet.kv.advance(11_000.0)
    for name in ("i1", "i2"):
        fleet.step(name, "lease")
    fleet.kv.faults.append("late")
    # i1 may not own the shard, but an idle instance also scans random shards.
    while fleet.kv.faults:
        fleet.step("i1", "scan")
    fleet.instances["i1"].service._verify_claims()
    fleet.kv.apply_late()
    fleet.settle()
    assert view(fleet, "i1", ids[0], job).state == "done"


def test_job_whose_work_class_is_not_known_yet_waits():
    fleet = make_fleet()
    job = submission("x", deadline_ms=10 * HOUR_MS)
    ids = accept(fleet, "i0", job)
    fleet.failures = [UnknownWorkClass("p", "notes")] * 5
    fleet.settle(n_rounds=40, step_ms=20_000.0)
    assert view(fleet, "i0", ids[0], job).state == "done"


def test_job_that_was_cancelled_while_it_ran_is_not_run_again():
    fleet = make_fleet()
    jobs = [submission("first", deadline_ms=HOUR_MS), submission("second")]
    ids = accept(fleet, "i0", *jobs)
    service = fleet.instances["i0"].service

    def run_job(job_id, run, control):
        fleet.runs.append(job_id)
        if job_id == ids[0]:
            service.cancel("a", "m", job_id)
        return Error(NoEngine("small"))

    replace_run(service, run_job)
    fleet.settle(n_rounds=10)
    assert fleet.runs.count(ids[0]) == 1
    assert fleet.runs.count(ids[1]) > 1
    assert view(fleet, "i0", ids[0], jobs[0]).state == "cancelled"


def test_paused_holder_does_not_rerun_jobs_that_another_finished():
    fleet = make_fleet(2)
    accept(fleet, "i0", *(submission(f"note {index}") for index in range(4)))
    paused = fleet.instances.pop("i0")
    fleet.kv.advance(30_000.0)
    fleet.settle(n_rounds=3)
    assert len(fleet.runs) == 4
    fleet.instances["i0"] = paused
    fleet.settle(n_rounds=5)
    assert len(fleet.runs) == 4
    assert not [key for key in fleet.kv.entries if "/c/" in key]


def test_busy_instance_without_a_shard_detects_the_end_of_an_outage():
    fleet = make_fleet(1, CONFIG._replace(max_held_jobs=2))
    for index in range(400):
        fleet.instances[f"j{index}"] = None
    assert owned_shards("i0", sorted(fleet.instances)) == []
    accept(fleet, "i0", *(submission(f"note {index}") for index in range(2)))
    fleet.submit("i0", submission("x"))
    fleet.kv.is_down = True
    fleet.step("i0", "commit")
    fleet.kv.is_down = False
    for step in ("lease", "commit", "scan"):
        fleet.step("i0", step)
    fleet.kv.advance(30_000.0)
    fleet.step("i0", "run")
    assert fleet.runs == []


def test_blob_that_two_threads_load_at_once_is_counted_once():
    entries = {}
    store = None
    depth = []

    def get(key):
        # The second thread's load happens during the first one's.
        if "/b/" in key and not depth:
            depth.append(key)
            assert store.load("x").ok == b"z" * 1_000
        return Ok(entries.get(key))

    fleet = make_fleet()
    port = fleet.instances["i0"].connection.port()
    BlobStore(port).ensure(Blob("x", b"z" * 1_000), HOUR_MS)
    entries.update(fleet.kv.entries)
    store = BlobStore(SimpleNamespace(get=get))
    assert store.load("x").ok == b"z" * 1_000
    assert store._n_cached_bytes == 1_000


def collect_for_hours(fleet, name, n_hours):
    for _ in range(n_hours):
        fleet.kv.advance(HOUR_MS)
        for _ in range(3):
            fleet.step(name, "collect")


def test_blob_whose_writer_ended_halfway_is_deleted_in_time():
    fleet = make_fleet()
    # The pin is read and two of four parts are written before the instance is killed.
    fleet.instances["i0"].connection.n_calls_left = 3
    with pytest.raises(KilledError):
        fleet.submit("i0", submission("z" * 3_000_000))
    fleet.instances.clear()
    assert [key for key in fleet.kv.entries if "/b/" in key]
    fleet.start("i1")
    fleet.step("i1", "collect")
    collect_for_hours(fleet, "i1", 12)
    assert not [key for key in fleet.kv.entries if "/b/" in key]


def test_result_whose_writer_ended_halfway_is_deleted_in_time():
    fleet = make_fleet()
    job = submission("x", deadline_ms=2 * HOUR_MS)
    ids = accept(fleet, "i0", job)
    instance = fleet.instances["i0"]
    run_job = instance.run_job

    def run_large(job_id, run, control):
        run_job(job_id, run, control)
        return Ok({"text": "y" * 3_000_000})

    replace_run(instance.service, run_large)
    fleet.step("i0", "run")
    instance.connection.n_calls_left = 2
    fleet.step("i0", "commit")
    assert len([key for key in fleet.kv.entries if "/r/" in key]) == 2
    fleet.kv.advance(11_000.0)
    fleet.start("i1")
    fleet.step("i1", "collect")
    fleet.settle(n_rounds=3)
    assert view(fleet, "i1", ids[0], job).state == "done"
    collect_for_hours(fleet, "i1", 40)
    assert not [key for key in fleet.kv.entries if "/r/" in key]


def test_recorded_start_keeps_outcomes_saved_meanwhile():
    fleet = make_fleet()
    ids = accept(fleet, "i0", submission("a"), submission("b"))
    segment_id = ids[0].split("-")[0]
    held_segments = fleet.instances["i0"].service._held_segments
    held_segments.finish(
        JobAddress(segment_id, 0), UnsavedOutcome(Outcome("done"), b"{}")
    )
    commit = fleet.kv.commit

    def commit_and_be_overtaken(transaction):
        held_segments._kv = held_segments._kv._replace(commit=commit)
        outcome = commit(transaction)
        assert held_segments.step()
        return outcome

    held_segments._kv = held_segments._kv._replace(commit=commit_and_be_overtaken)
    assert held_segments.record_attempt(JobAddress(segment_id, 1))
    held = held_segments.get(segment_id)
    assert held.outcomes.jobs[0].state == "done"
    assert held.revision == fleet.kv.entries[outcomes_key(segment_id)].mod_revision


def test_paused_holder_shows_state_that_another_saved():
    fleet = make_fleet(2)
    job = submission("x")
    ids = accept(fleet, "i0", job)
    paused = fleet.instances.pop("i0")
    fleet.kv.advance(30_000.0)
    fleet.settle(n_rounds=3)
    fleet.instances["i0"] = paused
    assert view(fleet, "i1", ids[0], job).state == "done"
    assert view(fleet, "i0", ids[0], job).state == "done"


def lose_holder_in_outage(fleet):
    """Let i0 notice an outage, and i1 run i0's jobs once it is over."""
    assert fleet.submit("i0", submission("in the outage")).is_ok()
    fleet.kv.is_down = True
    fleet.step("i0", "commit")
    fleet.kv.is_down = False
    fleet.kv.advance(30_000.0)
    holder = fleet.instances.pop("i0")
    fleet.settle(n_rounds=3)
    fleet.instances["i0"] = holder


@pytest.mark.parametrize(("is_cut_off", "shown"), [(False, "done"), (True, "")])
def test_holder_after_outage_shows_no_older_state_than_was_delivered(is_cut_off, shown):
    fleet = make_fleet(2)
    job = submission("x")
    ids = accept(fleet, "i0", job)
    lose_holder_in_outage(fleet)
    assert view(fleet, "i1", ids[0], job).state == "done"
    fleet.kv.is_down = is_cut_off
    found = fleet.instances["i0"].service.read("a", "m", ids[0])
    assert found.map(lambda view: view.state).default_value("") == shown


@pytest.mark.parametrize("is_down", [True, False])
def test_commit_without_a_known_result_is_given_up_after_its_last_try(is_down):
    fleet = make_fleet()
    pending = fleet.submit("i0", submission("x")).ok
    fleet.kv.faults.append("dropped")
    fleet.step("i0", "commit")
    fleet.kv.is_down = is_down
    fleet.kv.faults.extend(["dropped"] * MAX_TRIES)
    for _ in range(MAX_TRIES - 2):
        fleet.step("i0", "commit")
    assert pending.result is None
    fleet.step("i0", "commit")
    assert pending.result.error.not_run == "unknown"
    before = fleet.kv.n_commits
    fleet.step("i0", "commit")
    assert fleet.kv.n_commits == before


@pytest.mark.parametrize("is_collected", [False, True])
def test_segment_that_another_instance_ended_is_not_claimed_again(is_collected):
    fleet = make_fleet(2)
    ids = accept(fleet, "i0", *(submission(f"note {index}") for index in range(2)))
    segment_id = ids[0].split("-")[0]
    holder = fleet.instances.pop("i0")
    fleet.kv.advance(30_000.0)
    fleet.settle(n_rounds=3)
    if is_collected:
        fleet.kv.entries.pop(outcomes_key(segment_id))
    fleet.instances["i0"] = holder
    fleet.step("i0", "lease")
    holder.service._reclaim_stale()
    assert claim_key(segment_id) not in fleet.kv.entries
    for _ in range(2):
        fleet.step("i0", "run")
    assert len(fleet.runs) == 2


def test_segment_that_was_changed_in_between_is_claimed_again():
    fleet = make_fleet(2)
    jobs = [submission(f"note {index}") for index in range(2)]
    ids = accept(fleet, "i0", *jobs)
    fleet.kv.advance(30_000.0)
    fleet.instances["i1"].service.cancel("a", "m", ids[0])
    for step in ("lease", "scan", "scan", "run", "run", "commit"):
        fleet.step("i0", step)
    assert [job_id for _, job_id in fleet.runs] == ids[1:]
    assert view(fleet, "i1", ids[0], jobs[0]).state == "cancelled"
    assert view(fleet, "i1", ids[1], jobs[1]).state == "done"


def test_outcomes_read_before_a_later_save_do_not_replace_it():
    fleet = make_fleet()
    ids = accept(fleet, "i0", submission("a"), submission("b"))
    segment_id = ids[0].split("-")[0]
    held_segments = fleet.instances["i0"].service._held_segments
    held_segments.finish(
        JobAddress(segment_id, 0), UnsavedOutcome(Outcome("done"), b"{}")
    )
    get = fleet.kv.get

    def get_and_be_overtaken(key):
        held_segments._kv = held_segments._kv._replace(get=get)
        entry = get(key)
        assert held_segments.step()
        return entry

    held_segments._kv = held_segments._kv._replace(get=get_and_be_overtaken)
    held_segments.refresh(segment_id)
    held = held_segments.get(segment_id)
    assert held.outcomes.jobs[0].state == "done"
    assert held.revision == fleet.kv.entries[outcomes_key(segment_id)].mod_revision


@pytest.mark.parametrize("reader", ["i0", "i1"])
def test_job_cancelled_at_another_instance_is_shown_as_cancelled(reader):
    fleet = make_fleet(2)
    job = submission("x")
    ids = accept(fleet, "i0", job)
    assert view(fleet, "i0", ids[0], job).state == "waiting"
    fleet.instances["i1"].service.cancel("a", "m", ids[0])
    assert view(fleet, reader, ids[0], job).state == "cancelled"


def test_running_job_is_shown_as_running_by_its_holder():
    fleet = make_fleet(2)
    job = submission("x")
    ids = accept(fleet, "i0", job)
    seen = []
    fleet.during_run = [lambda _: seen.append(view(fleet, "i0", ids[0], job).state)]
    fleet.step("i0", "run")
    assert seen == ["running"]


def test_events_of_a_job_name_the_id_that_its_caller_has():
    fleet = make_fleet()
    logged = []
    context = fleet.instances["i0"].service._context
    telemetry = context.telemetry._replace(
        log=lambda event, **fields: logged.append((event.name, fields.get("job_id")))
    )
    fleet.instances["i0"].service._context = context._replace(telemetry=telemetry)
    ids = accept(fleet, "i0", submission("a"), submission("b", member="n"))
    assert logged == [("deferred.accepted", job_id) for job_id in ids]
    logged.clear()
    for step in ("run", "run", "commit"):
        fleet.step("i0", step)
    assert sorted(logged) == sorted(("deferred.finished", job_id) for job_id in ids)
