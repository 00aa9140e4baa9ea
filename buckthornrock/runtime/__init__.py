"""Clocks, timers, periodic actors and other shared building blocks."""

from .clock import Clock, system_clock
from .periodic import PeriodicHandle, start_periodic
from .timer import Timer

__all__ = ["Clock", "PeriodicHandle", "Timer", "start_periodic", "system_clock"]
