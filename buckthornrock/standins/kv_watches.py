"""Streams the changes of the key-value stand-in to its watchers."""

import base64
import queue
import threading
from typing import NamedTuple

import msgspec

from ..httpd import Exchange
from .kv_faults import CallCounts

PROGRESS_PERIOD_S = 1.0


class Change(NamedTuple):
    """One change of one key; ``kv`` is as the gateway shows it."""

    key: bytes
    revision: int
    event: dict


class _Watch(NamedTuple):
    start: bytes
    end: bytes
    changes: queue.SimpleQueue


class Watches:
    """All open watches, and the recent changes that a new one may ask for."""

    N_KEPT_CHANGES = 10_000

    def __init__(self, counts: CallCounts) -> None:
        self._counts = counts
        self._lock = threading.Lock()
        self._watches: set[_Watch] = set()
        self._history: list[Change] = []

    def publish(self, changes: list[Change]) -> None:
        """Send changes of one revision to those who watch their keys."""
        with self._lock:
            self._history = (self._history + changes)[-self.N_KEPT_CHANGES :]
            for watch in self._watches:
                for change in changes:
                    if watch.start <= change.key < watch.end:
                        watch.changes.put(change)

    def cancel_all(self, forget: bool = False) -> None:
        """End every watch; ``forget`` also drops the recent changes."""
        with self._lock:
            for watch in self._watches:
                watch.changes.put(None)
            if forget:
                self._history = []

    def serve(self, exchange: Exchange, body: dict, revision: int) -> None:
        """Stream changes until the watch is cancelled or its caller is gone."""
        request = body["create_request"]
        watch = _Watch(
            start=base64.b64decode(request["key"]),
            end=base64.b64decode(request["range_end"]),
            changes=queue.SimpleQueue(),
        )
        self._open(watch, int(request.get("start_revision", 0)))
        try:
            exchange.start_stream(200, {"Content-Type": "application/json"})
            self._send(exchange, {"created": True}, revision)
            while (change := self._next(watch)) is not None:
                events = {"events": [change.event]} if change.event else {}
                self._send(exchange, events, change.revision)
        except OSError:
            pass
        finally:
            exchange.abort()
            self._close(watch)

    def _next(self, watch: _Watch) -> Change | None:
        """Return the next change, or one without an event as a sign of progress."""
        try:
            return watch.changes.get(timeout=PROGRESS_PERIOD_S)
        except queue.Empty:
            return Change(b"", 0, {})

    def _open(self, watch: _Watch, start_revision: int) -> None:
        with self._lock:
            for change in self._history if start_revision else ():
                is_wanted = watch.start <= change.key < watch.end
                if is_wanted and change.revision >= start_revision:
                    watch.changes.put(change)
            self._watches.add(watch)
            self._counts.n_watches = len(self._watches)

    def _close(self, watch: _Watch) -> None:
        with self._lock:
            self._watches.discard(watch)
            self._counts.n_watches = len(self._watches)

    def _send(self, exchange: Exchange, result: dict, revision: int) -> None:
        answer = {"result": {"header": {"revision": str(revision)}, **result}}
        exchange.send_part(msgspec.json.encode(answer) + b"\n")
