"""Scheduling: queueing, rejecting and placing requests. Pure decision logic."""
