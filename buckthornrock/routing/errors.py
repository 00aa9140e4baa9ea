"""Failures of routing."""

from typing import NamedTuple


class NoEngine(NamedTuple):
    """No engine that accepts new work serves the model."""

    model: str

    code = "no-engine"
