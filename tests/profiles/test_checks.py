"""Checks of profiles report every problem at once, each with its id and path."""

import copy

import pytest

from buckthornrock.profiles.checks import MAX_PROFILE_BYTES, check_profile
from buckthornrock.profiles.diff import differing_paths

from .fleet import profile


def changed(**changes):
    """Return a good profile with values replaced at dotted paths."""
    document = copy.deepcopy(profile())
    for path, value in changes.items():
        *parents, last = path.split("__")
        target = document
        for key in parents:
            target = target[key]
        target[last] = value
    return document


CASES = [
    ([], "PRO-E003", "$"),
    (changed(colour=1), "PRO-E001", "$.colour"),
    (changed(work_classes__blurb={}), "PRO-E002", "$.work_classes.blurb.rank"),
    (changed(work_classes__blurb__rank="x"), "PRO-E003", "$.work_classes.blurb.rank"),
    (changed(work_classes__blurb__kind="x"), "PRO-E003", "$.work_classes.blurb.kind"),
    (changed(routes=[{}]), "PRO-E002", "$.routes[0].service"),
    (changed(work_classes={}), "PRO-E010", "$.work_classes"),
    (changed(default_work_class="none"), "PRO-E011", "$.default_work_class"),
    (changed(work_classes__blurb__rank=-1), "PRO-E012", "$.work_classes.blurb.rank"),
    (changed(work_classes__blurb__worth=0), "PRO-E013", "$.work_classes.blurb.worth"),
    (changed(work_classes__notes__rank=0), "PRO-E014", "$.work_classes.notes.rank"),
    (
        changed(work_classes__blurb__deadline_ms=5),
        "PRO-E015",
        "$.work_classes.blurb.ttft_target_ms",
    ),
    (changed(deferrable_floor=1.0), "PRO-E016", "$.deferrable_floor"),
    (
        changed(default_limits__tokens_per_s=-1),
        "PRO-E017",
        "$.default_limits.tokens_per_s",
    ),
    (changed(default_limits__weight=0), "PRO-E018", "$.default_limits.weight"),
    (
        changed(default_limits__member_weights={"m": 0.0}),
        "PRO-E018",
        "$.default_limits.member_weights.m",
    ),
    (changed(routes=profile()["routes"] * 2), "PRO-E020", "$.routes[1]"),
]


@pytest.mark.parametrize(("document", "id_", "path"), CASES)
def test_problem_is_reported_with_id_and_path(document, id_, path):
    assert (id_, path) in [(p.id, p.path) for p in check_profile("default", document)]


def test_good_profile_has_no_problems():
    assert check_profile("default", profile()) == []


def test_all_problems_are_reported_at_once():
    document = changed(deferrable_floor=2, default_limits__weight=-1)
    ids = [problem.id for problem in check_profile("default", document)]
    assert ids == ["PRO-E016", "PRO-E018"]


@pytest.mark.parametrize("name", ["", "a/b", "x" * 65, "-a"])
def test_bad_name_is_refused(name):
    assert [p.id for p in check_profile(name, profile())] == ["PRO-E004"]


def test_too_large_profile_is_refused():
    limits = profile()["default_limits"]
    accounts = {f"account-{n}": limits for n in range(MAX_PROFILE_BYTES // 50)}
    document = changed(client_accounts=accounts)
    assert [p.id for p in check_profile("default", document)] == ["PRO-E005"]


DIFFERENCES = [
    (1, 1, ()),
    ({"a": 1}, {"a": 2}, ("$.a",)),
    ({"a": {"b": 1, "c": 2}}, {"a": {"b": 1}}, ("$.a.c",)),
    ({"a": [1]}, {"a": [2], "d": 1}, ("$.a", "$.d")),
]


@pytest.mark.parametrize(("one", "other", "paths"), DIFFERENCES)
def test_differences_are_named_by_path(one, other, paths):
    assert differing_paths(one, other) == paths
