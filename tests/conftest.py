"""Settings that all tests share, and the tests that are known to fail."""

import re
from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

# The same examples every run, so that a verdict never depends on luck.
settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def pytest_collection_modifyitems(items):
    """Let CI pass over exactly the tests that KNOWN-RED.txt lists."""
    known = set(re.findall(r"(?m)^(tests/\S+::\S.*)$", KNOWN_RED.read_text()))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
