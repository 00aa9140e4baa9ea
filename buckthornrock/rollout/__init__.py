"""Rolls out new weights to the engines; only the holder of a lease sends orders."""
