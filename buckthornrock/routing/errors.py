"""Failures of routing."""

from typing import NamedTuple


class NoEngine(NamedTuple):
    """No engine that may get new work serves the model."""

    model: str

    code = "no-engine"
