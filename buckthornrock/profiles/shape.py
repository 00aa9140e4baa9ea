"""Checks the keys and types of a JSON value against the profiles' ``TypedDict``s."""

from typing import Any, NotRequired, get_args, get_origin, get_type_hints, is_typeddict

from ..conf.decoding import Problem, decode

UNKNOWN_KEY = "PRO-E001"
MISSING_KEY = "PRO-E002"
WRONG_TYPE = "PRO-E003"


def check_shape(value: object, target: Any, path: str) -> list[Problem]:
    """Return a problem for each path at which ``value`` does not match ``target``."""
    if is_typeddict(target):
        return _check_document(value, target, path)
    origin = get_origin(target)
    if origin is dict:
        return _check_map(value, get_args(target)[1], path)
    if origin is list:
        return _check_list(value, get_args(target)[0], path)
    problems: list[Problem] = []
    decode(value, target, path, problems)
    return [problem._replace(id=WRONG_TYPE) for problem in problems]


def _check_document(value: object, target: Any, path: str) -> list[Problem]:
    if not isinstance(value, dict):
        return [_wrong_type(path, value, "an object")]
    hints = get_type_hints(target, include_extras=True)
    problems = [
        Problem(UNKNOWN_KEY, f"{path}.{key}", "an unknown key", "remove it")
        for key in value
        if key not in hints
    ]
    for key, hint in hints.items():
        if key in value:
            inner = get_args(hint)[0] if get_origin(hint) is NotRequired else hint
            problems += check_shape(value[key], inner, f"{path}.{key}")
        elif key in target.__required_keys__:
            hint = "add it"
            problems.append(Problem(MISSING_KEY, f"{path}.{key}", "nothing", hint))
    return problems


def _check_map(value: object, item: Any, path: str) -> list[Problem]:
    if not isinstance(value, dict):
        return [_wrong_type(path, value, "an object")]
    return [
        problem
        for key, entry in value.items()
        for problem in check_shape(entry, item, f"{path}.{key}")
    ]


def _check_list(value: object, item: Any, path: str) -> list[Problem]:
    if not isinstance(value, list):
        return [_wrong_type(path, value, "an array")]
    return [
        problem
        for index, entry in enumerate(value)
        for problem in check_shape(entry, item, f"{path}[{index}]")
    ]


def _wrong_type(path: str, value: object, wanted: str) -> Problem:
    return Problem(WRONG_TYPE, path, type(value).__name__, f"write {wanted}")
