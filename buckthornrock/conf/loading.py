"""Reads a settings file and returns settings or every problem with it."""

from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from .checks import check_settings
from .decoding import Problem, decode
from .settings import Settings

UNREADABLE = "SET-E004"
BAD_JSON = "SET-E005"


def load_settings(path: str) -> Result[Settings, list[Problem]]:
    """Return the settings in the JSON file at ``path``, or all its problems."""
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        hint = "give the path of a readable file"
        return Error([Problem(UNREADABLE, "$", error.strerror or "unreadable", hint)])
    return parse_settings(text)


def parse_settings(text: bytes) -> Result[Settings, list[Problem]]:
    """Return the settings in ``text``, or all its problems."""
    try:
        document = msgspec.json.decode(text)
    except (ValueError, RecursionError) as error:
        return Error([Problem(BAD_JSON, "$", str(error), "write valid JSON")])
    problems: list[Problem] = []
    settings = decode(document, Settings, "$", problems)
    if problems:
        return Error(problems)
    problems = check_settings(settings)
    if problems:
        return Error(problems)
    return Ok(settings)
