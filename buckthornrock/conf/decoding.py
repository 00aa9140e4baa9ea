"""Decodes JSON values into nested ``NamedTuple`` sections, reporting every problem."""

import types
from typing import Any, Literal, NamedTuple, Union, get_args, get_origin, get_type_hints


class Problem(NamedTuple):
    """One thing that is wrong with a settings file.

    Parameters
    ----------
    id : str
        Stable identifier, like ``SET-E003``.
    path : str
        JSON path of the value.
    found : str
        What was found; never the value of a secret.
    hint : str
        What to do about it.
    """

    id: str
    path: str
    found: str
    hint: str


UNKNOWN_KEY = "SET-E001"
MISSING_KEY = "SET-E002"
WRONG_TYPE = "SET-E003"

_SCALARS = {str: "a string", int: "a whole number", float: "a number", bool: "a bool"}


def decode(value: object, target: Any, path: str, problems: list[Problem]) -> Any:
    """Convert a JSON value to ``target``.

    Parameters
    ----------
    value : object
        What the JSON decoder returned.
    target : type
        A scalar type, ``Literal``, ``tuple[X, ...]``, ``dict[str, X]`` or a
        ``NamedTuple`` of such.
    path : str
        JSON path of the value.
    problems : list of Problem
        Receives every problem.

    Returns
    -------
    object
        The converted value, or None where it could not be converted.
    """
    if hasattr(target, "_fields"):
        return _decode_section(value, target, path, problems)
    origin = get_origin(target)
    if origin is tuple:
        return _decode_list(value, get_args(target)[0], path, problems)
    if origin is dict:
        return _decode_map(value, get_args(target)[1], path, problems)
    if origin is Literal:
        return _decode_choice(value, get_args(target), path, problems)
    if origin in (Union, types.UnionType):
        return _decode_optional(value, target, path, problems)
    return _decode_scalar(value, target, path, problems)


def _decode_section(
    value: object, target: Any, path: str, problems: list[Problem]
) -> Any:
    if not isinstance(value, dict):
        problems.append(_wrong_type(path, value, "an object"))
        return None
    hints = get_type_hints(target)
    for key in value.keys() - hints.keys():
        names = ", ".join(hints)
        problems.append(
            Problem(UNKNOWN_KEY, f"{path}.{key}", "unknown key", f"known: {names}")
        )
    missing = hints.keys() - value.keys() - target._field_defaults.keys()
    for key in sorted(missing):
        problems.append(
            Problem(MISSING_KEY, f"{path}.{key}", "nothing", "this key is required")
        )
    fields = {
        key: decode(value[key], hint, f"{path}.{key}", problems)
        for key, hint in hints.items()
        if key in value
    }
    if missing:
        return None
    return target(**fields)


def _decode_list(value: object, item: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(value, list):
        problems.append(_wrong_type(path, value, "an array"))
        return None
    return tuple(
        decode(entry, item, f"{path}[{index}]", problems)
        for index, entry in enumerate(value)
    )


def _decode_map(value: object, item: Any, path: str, problems: list[Problem]) -> Any:
    if not isinstance(value, dict):
        problems.append(_wrong_type(path, value, "an object"))
        return None
    return {
        key: decode(entry, item, f"{path}.{key}", problems)
        for key, entry in value.items()
    }


def _decode_choice(
    value: object, choices: tuple[object, ...], path: str, problems: list[Problem]
) -> Any:
    if value not in choices:
        wanted = "one of " + ", ".join(map(str, choices))
        problems.append(_wrong_type(path, value, wanted))
        return None
    return value


def _decode_optional(
    value: object, target: Any, path: str, problems: list[Problem]
) -> Any:
    if value is None:
        return None
    inner = next(arg for arg in get_args(target) if arg is not type(None))
    return decode(value, inner, path, problems)


def _decode_scalar(
    value: object, target: Any, path: str, problems: list[Problem]
) -> Any:
    if target is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    is_bool_for_int = target is int and isinstance(value, bool)
    if isinstance(value, target) and not is_bool_for_int:
        return value
    problems.append(_wrong_type(path, value, _SCALARS[target]))
    return None


def _wrong_type(path: str, value: object, wanted: str) -> Problem:
    return Problem(WRONG_TYPE, path, type(value).__name__, f"write {wanted}")
