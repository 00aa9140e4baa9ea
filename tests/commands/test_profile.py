"""The profile commands against one instance: exit codes, conflicts, waiting."""

import msgspec
import pytest
from click.testing import CliRunner

from buckthornrock.commands import main
from buckthornrock.commands.demo_world import OPERATOR_KEY, demo_profile, start_world


@pytest.fixture(scope="module")
def world():
    world = start_world()
    yield world
    world.stop()


@pytest.fixture
def run(world, tmp_path):
    address = world.operator_url.removeprefix("http://")

    def run(*arguments, key=OPERATOR_KEY, operator=address):
        options = ["--operator", operator, "--key", key]
        return CliRunner().invoke(main, ["profile", *arguments, *options])

    return run


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "profile.json"
    path.write_bytes(msgspec.json.encode(demo_profile()))
    return str(path)


def apply(run, name, path, version, *options):
    return run("apply", name, path, "--expected-version", str(version), *options)


def test_apply_waits_until_it_is_in_force(run, path):
    result = apply(run, "shop", path, 0, "--wait", "--author", "ann")
    assert result.exit_code == 0
    assert "in force on all 1 live instances" in result.output
    shown = run("show", "shop")
    assert msgspec.json.decode(shown.output) == demo_profile()
    assert "shop version 1" in run("list").output
    assert run("status", "shop").output == "demo: version 1 (from kv)\n"


def test_conflict_names_the_winner_and_what_differs(run, path, tmp_path):
    assert apply(run, "race", path, 0, "--author", "ann").exit_code == 0
    other = tmp_path / "other.json"
    other.write_bytes(msgspec.json.encode({**demo_profile(), "deferrable_floor": 0.5}))
    result = apply(run, "race", str(other), 0, "--author", "bob")
    assert result.exit_code == 1
    for text in ("profile-conflict", "found version 1", "by ann", "$.deferrable_floor"):
        assert text in result.output


def test_same_change_sent_again_is_done(run, path):
    first = apply(run, "again", path, 0, "--author", "ann", "--json")
    again = apply(run, "again", path, 0, "--author", "ann", "--json")
    assert (first.exit_code, again.exit_code) == (0, 0)
    assert again.output == first.output


def test_problems_are_listed(run, tmp_path):
    bad = tmp_path / "bad.json"
    bad.write_bytes(msgspec.json.encode({**demo_profile(), "deferrable_floor": 2}))
    result = apply(run, "bad", str(bad), 0)
    assert result.exit_code == 1
    assert "PRO-E016 $.deferrable_floor" in result.output


def test_history_and_rollback(run, path):
    apply(run, "back", path, 0)
    assert run("rollback", "back", "1", "--expected-version", "1").exit_code == 0
    versions = msgspec.json.decode(run("history", "back", "--json").output)["versions"]
    assert [row["version"] for row in versions] == [2, 1]


def test_kv_outage_is_a_refusal_that_was_not_run(world, run, path):
    world.kv.fault = "down"
    result = apply(run, "outage", path, 0, "--json")
    world.kv.fault = ""
    assert result.exit_code == 1
    assert msgspec.json.decode(result.output)["not_run"] is True


REFUSALS = [
    (("show", "none"), {}, 1, "unknown-profile"),
    (("list",), {"key": "wrong"}, 1, "unauthenticated"),
    (("list",), {"operator": "127.0.0.1:1"}, 1, "can't be reached"),
    (("apply", "x"), {}, 2, "Missing argument"),
    (("rollback", "x", "0", "--expected-version", "1"), {}, 2, "Invalid value"),
]


@pytest.mark.parametrize(("arguments", "options", "code", "text"), REFUSALS)
def test_exit_codes(run, arguments, options, code, text):
    result = run(*arguments, **options)
    assert result.exit_code == code
    assert text in result.output
