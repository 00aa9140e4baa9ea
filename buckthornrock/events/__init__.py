"""The catalogue of numbered log events.

Each subsystem declares its events in a module of its own; :data:`CATALOGUE` joins
them. A test checks that ``docs/EVENTS.md`` matches this catalogue.
"""

from . import (
    admission,
    deferred,
    dispatch,
    entry,
    fleet,
    gateway,
    idempotency,
    lifecycle,
    membership,
    platform,
    profiles,
    rollout,
    routing,
)
from .event import Event, collect

_MODULES = (
    lifecycle,
    entry,
    platform,
    profiles,
    membership,
    routing,
    dispatch,
    admission,
    deferred,
    idempotency,
    fleet,
    gateway,
    rollout,
)

#: Every event by number.
CATALOGUE: dict[int, Event] = collect(_MODULES)

__all__ = ["CATALOGUE", "Event"]
