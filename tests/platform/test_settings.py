"""Loading reports every problem of a settings file and ignores unknown fields."""

import pytest
from click.testing import CliRunner

from buckthornrock.commands import main
from buckthornrock.platform.settings import load_node_settings

VALID = """
nodeName = "edge-1"
ip = "10.0.0.1"
zone = "a"
portRange = [9000, 9010]
seeds = ["10.0.0.2:9000"]
region = "south"

[listen]
front = "10.0.0.1:80"
readyAddr = "10.0.0.1:81"

[bounds]
drainMs = 2000
graceS = 8
configMs = 2000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
leaseMs = 3000
versionMs = 20000

[platform]
addr = "10.9.0.1:1"
ttlMinMs = 1000

[zones]
a = "r"
"""


def write(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return str(path)


def test_valid_file_is_loaded_and_ignored_fields_are_listed(tmp_path):
    settings = load_node_settings(write(tmp_path, VALID)).ok
    assert settings.bounds.grace_s == 8.0
    assert settings.ignored_fields == ("region",)


def test_quotas_are_in_force_only_with_a_window(tmp_path):
    """Deployments whose settings lack the fields behave as before."""
    bounds = load_node_settings(write(tmp_path, VALID)).ok.bounds
    assert bounds.quota_window_s == 0.0
    fields = "versionMs = 20000\nquotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 9"
    text = VALID.replace("versionMs = 20000", fields)
    bounds = load_node_settings(write(tmp_path, text)).ok.bounds
    found = (bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack)
    assert found == (8.0, 0.1, 9.0)


@pytest.mark.parametrize(
    ("changes", "paths"),
    [
        ([("graceS = 8", 'graceS = "soon"')], ["$.bounds.graceS"]),
        ([('zone = "a"', "")], ["$.zone"]),
        ([("[listen]", "[other]")], ["$.listen"]),
        (
            [("drainMs = 2000", ""), ("ttlMinMs = 1000", "ttlMinMs = 1.5")],
            ["$.bounds.drainMs", "$.platform.ttlMinMs"],
        ),
        ([("portRange = [9000, 9010]", "portRange = 9000")], ["$.portRange"]),
        ([("[platform]", "[more]")], ["$.platform"]),
        (
            [("versionMs = 20000", 'versionMs = 20000\nquotaWindowS = "8"')],
            ["$.bounds.quotaWindowS"],
        ),
        ([("nodeName", "= nonsense")], ["$"]),
        (
            [("[zones]", "[limits]\nmemoryMb = 95\nmaxFds = 299\n[zones]")],
            ["$.limits.memoryMb", "$.limits.maxFds"],
        ),
        ([("[zones]", '[limits]\nmemoryMb = "much"\n[zones]')], ["$.limits.memoryMb"]),
    ],
)
def test_every_problem_is_reported(tmp_path, changes, paths):
    text = VALID
    for old, new in changes:
        text = text.replace(old, new)
    path = write(tmp_path, text)
    problems = load_node_settings(path).error.problems
    assert [problem.path for problem in problems] == paths
    assert all(problem.hint for problem in problems)
    result = CliRunner().invoke(main, ["check", path])
    assert result.exit_code == 1
    assert f"{len(paths)} problems" in result.output


def test_check_accepts_a_valid_file(tmp_path):
    result = CliRunner().invoke(main, ["check", write(tmp_path, VALID)])
    assert (result.exit_code, result.output) == (0, "0 problems\n")


@pytest.mark.parametrize(
    ("table", "expected"),
    [
        # Files of earlier releases have no limits.
        ("", (552.0, 4_100)),
        ("[limits]\n", (552.0, 4_100)),
        ("[limits]\nmemoryMb = 96\nmaxFds = 300\n", (96.0, 300)),
        ("[limits]\nmemoryMb = 300.5\ncores = 2\n", (300.5, 4_100)),
    ],
)
def test_limits_have_defaults(tmp_path, table, expected):
    limits = load_node_settings(write(tmp_path, VALID + table)).ok.limits
    assert (limits.memory_mb, limits.max_fds) == expected
