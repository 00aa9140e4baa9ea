"""Checks that a profile must pass before it is accepted, with stable identifiers."""

import re
from collections.abc import Callable, Iterator

import msgspec

from ..conf.decoding import Problem
from .document import AccountLimits, Profile
from .shape import check_shape

BAD_NAME = "PRO-E004"
TOO_LARGE = "PRO-E005"
NO_WORK_CLASS = "PRO-E010"
UNKNOWN_DEFAULT = "PRO-E011"
BAD_RANK = "PRO-E012"
NOT_POSITIVE = "PRO-E013"
RANK_ORDER = "PRO-E014"
TARGET_AFTER_DEADLINE = "PRO-E015"
BAD_FLOOR = "PRO-E016"
NEGATIVE_LIMIT = "PRO-E017"
BAD_WEIGHT = "PRO-E018"
BAD_ROUTE = "PRO-E019"
DUPLICATE_ROUTE = "PRO-E020"

MAX_RANK = 9
#: A profile and its history entry must fit together into one transaction.
MAX_PROFILE_BYTES = 400_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_METHOD = re.compile(r"[A-Z]{1,16}|\*")


def check_profile(name: str, profile: object) -> list[Problem]:
    """Return every problem of a profile, in the order of the document.

    Parameters
    ----------
    name : str
        The profile's name.
    profile : object
        A decoded JSON value; its keys and types are checked first.
    """
    problems = _check_envelope(name, profile)
    problems += check_shape(profile, Profile, "$")
    if problems:
        return problems
    return [problem for check in CHECKS for problem in check(profile)]


def _check_envelope(name: str, profile: object) -> list[Problem]:
    problems = []
    if not _NAME.fullmatch(name):
        hint = "write 1 to 64 letters, digits, dots, dashes or underscores"
        problems.append(Problem(BAD_NAME, "name", name[:64], hint))
    n_bytes = len(msgspec.json.encode(profile))
    if n_bytes > MAX_PROFILE_BYTES:
        hint = f"write at most {MAX_PROFILE_BYTES} bytes"
        problems.append(Problem(TOO_LARGE, "$", f"{n_bytes} bytes", hint))
    return problems


def _check_work_classes(profile: Profile) -> Iterator[Problem]:
    classes = profile["work_classes"]
    if not classes:
        hint = "name at least one"
        yield Problem(NO_WORK_CLASS, "$.work_classes", "none", hint)
    for key, work in classes.items():
        path = f"$.work_classes.{key}"
        if not 0 <= work["rank"] <= MAX_RANK:
            hint = f"write 0 (most urgent) to {MAX_RANK}"
            yield Problem(BAD_RANK, f"{path}.rank", str(work["rank"]), hint)
        for field in ("ttft_target_ms", "deadline_ms", "worth"):
            if not work[field] > 0:
                hint = "write more than 0"
                yield Problem(NOT_POSITIVE, f"{path}.{field}", str(work[field]), hint)
        if work["ttft_target_ms"] > work["deadline_ms"]:
            found = f"{work['ttft_target_ms']} ms"
            hint = "write at most deadline_ms"
            yield Problem(TARGET_AFTER_DEADLINE, f"{path}.ttft_target_ms", found, hint)


def _check_rank_order(profile: Profile) -> Iterator[Problem]:
    classes = profile["work_classes"]
    urgent = [work["rank"] for work in classes.values() if work["kind"] == "urgent"]
    for key, work in classes.items():
        if work["kind"] == "deferrable" and urgent and work["rank"] <= max(urgent):
            path = f"$.work_classes.{key}.rank"
            hint = "rank deferrable work behind all urgent work"
            yield Problem(RANK_ORDER, path, str(work["rank"]), hint)


def _check_default(profile: Profile) -> Iterator[Problem]:
    default = profile["default_work_class"]
    if default not in profile["work_classes"]:
        hint = "name one of work_classes"
        yield Problem(UNKNOWN_DEFAULT, "$.default_work_class", default, hint)


def _check_floor(profile: Profile) -> Iterator[Problem]:
    floor = profile["deferrable_floor"]
    if not 0.0 <= floor < 1.0:
        hint = "write 0 or more and less than 1"
        yield Problem(BAD_FLOOR, "$.deferrable_floor", str(floor), hint)


def _check_limits(profile: Profile) -> Iterator[Problem]:
    yield from _check_account(profile["default_limits"], "$.default_limits")
    for key, limits in profile["client_accounts"].items():
        yield from _check_account(limits, f"$.client_accounts.{key}")


def _check_account(limits: AccountLimits, path: str) -> Iterator[Problem]:
    for field in ("requests_per_s", "tokens_per_s"):
        if not limits[field] >= 0:
            hint = "write 0 or more"
            yield Problem(NEGATIVE_LIMIT, f"{path}.{field}", str(limits[field]), hint)
    weights = {"weight": limits["weight"]}
    for key, weight in limits.get("member_weights", {}).items():
        weights[f"member_weights.{key}"] = weight
    for key, weight in weights.items():
        if not weight > 0:
            hint = "write more than 0"
            yield Problem(BAD_WEIGHT, f"{path}.{key}", str(weight), hint)


def _check_routes(profile: Profile) -> Iterator[Problem]:
    seen: set[tuple[str, str, str]] = set()
    for index, route in enumerate(profile["routes"]):
        path = f"$.routes[{index}]"
        if not route["service"]:
            hint = "name a service"
            yield Problem(BAD_ROUTE, f"{path}.service", "an empty string", hint)
        if not _METHOD.fullmatch(route["method"]):
            hint = "write a method in capitals, or *"
            yield Problem(BAD_ROUTE, f"{path}.method", route["method"], hint)
        if not route["path_prefix"].startswith("/"):
            hint = "begin with /"
            found = route["path_prefix"]
            yield Problem(BAD_ROUTE, f"{path}.path_prefix", found, hint)
        key = (route["service"], route["method"], route["path_prefix"])
        if key in seen:
            yield Problem(DUPLICATE_ROUTE, path, " ".join(key), "keep one of them")
        seen.add(key)


#: All checks, in the order in which they are reported.
CHECKS: tuple[Callable[[Profile], Iterator[Problem]], ...] = (
    _check_work_classes,
    _check_rank_order,
    _check_default,
    _check_floor,
    _check_limits,
    _check_routes,
)
