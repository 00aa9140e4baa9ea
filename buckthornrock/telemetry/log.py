"""Structured logs: numbered events written through eliot."""

from collections.abc import Callable
from typing import IO

import eliot

from ..events import Event

#: A function that writes one event: ``log(event, field=value, ...)``.
Log = Callable[..., None]


def open_log(stream: IO[str] | None) -> Log:
    """Return a function that writes events.

    Parameters
    ----------
    stream : file-like or None
        Destination, one JSON object per line; None discards all events.

    Returns
    -------
    callable
        ``log(event, **fields)``; raises ``TypeError`` if the fields are not
        exactly those that the catalogue lists.
    """
    if stream is None:
        return _check
    # eliot's destinations are global to the process, so several instances in one
    # process share a stream; events name their instance where that matters.
    eliot.to_file(stream)

    def log(event: Event, **fields: object) -> None:
        _check(event, **fields)
        eliot.log_message(
            message_type=event.name,
            event=event.number,
            level=event.level,
            **fields,
        )

    return log


def _check(event: Event, **fields: object) -> None:
    if set(fields) != set(event.fields):
        raise TypeError(f"event {event.number} takes fields {event.fields}")
