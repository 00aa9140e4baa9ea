"""Measurements; each module is one command, ``python -m benchmarks.NAME``."""
