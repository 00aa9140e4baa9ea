"""The type of a numbered log event."""

from collections.abc import Iterable
from types import ModuleType
from typing import Literal, NamedTuple


class Event(NamedTuple):
    """A numbered log event.

    Parameters
    ----------
    number : int
        Stable number, which is never reused.
    name : str
        Dotted name, ``subsystem.what_happened``.
    level : {"info", "warning", "error"}
        Severity.
    fields : tuple of str
        Names of the fields of the log line.
    meaning : str
        Explanation for operators, printed in ``docs/EVENTS.md``.
    """

    number: int
    name: str
    level: Literal["info", "warning", "error"]
    fields: tuple[str, ...]
    meaning: str


def collect(modules: Iterable[ModuleType]) -> dict[int, Event]:
    """Return the events of several modules by number.

    Raises
    ------
    ValueError
        If two events share a number.
    """
    catalogue: dict[int, Event] = {}
    for module in modules:
        for value in vars(module).values():
            if not isinstance(value, Event):
                continue
            if value.number in catalogue:
                raise ValueError(f"event number {value.number} is used twice")
            catalogue[value.number] = value
    return catalogue
