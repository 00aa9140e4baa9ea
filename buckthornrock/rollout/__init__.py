"""Brings every engine to the newest weights: one holder of a lease gives orders."""
