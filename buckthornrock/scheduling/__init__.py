"""Decisions on waiting, refusal and choice of an upstream; pure."""
