"""Randomized faults against real processes; see docs/design/soak.md."""
