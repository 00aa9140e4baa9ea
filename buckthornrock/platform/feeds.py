"""Turns changes of the store into what the gateway knows."""

import asyncio
from collections.abc import Callable, Iterable

from ..catalog.upstreams import Upstream
from ..gateway.knowledge import Knowledge
from ..store.follower import Listener
from ..store.kv_port import KvEntry, Snapshot, WatchBatch
from .configuration import decode_configuration
from .upstream_entries import (
    CONFIGURATION_KEY,
    WEIGHTS_PREFIX,
    decode_upstream,
    decode_weights,
)

SOURCE = "store"


def operator_listener(
    knowledge: Knowledge, loop: asyncio.AbstractEventLoop, prefix: str
) -> Listener:
    """Return a listener for the operators' keys."""

    def take(entries: Iterable[KvEntry]) -> None:
        for entry in entries:
            _take_operator_entry(knowledge, entry)

    return _listener(
        knowledge,
        loop,
        prefix,
        on_snapshot=lambda snapshot: take(snapshot.entries),
        on_change=lambda change: take(change.entries),
    )


def upstream_listener(
    knowledge: Knowledge, loop: asyncio.AbstractEventLoop, prefix: str
) -> Listener:
    """Return a listener for the upstreams' entries."""

    def on_snapshot(snapshot: Snapshot) -> None:
        upstreams, _ = _decode_upstreams(knowledge, snapshot.entries)
        knowledge.replace_upstreams(upstreams, snapshot.revision)

    def on_change(change: WatchBatch) -> None:
        upstreams, unreadable = _decode_upstreams(knowledge, change.entries)
        removed = [key.removeprefix(prefix) for key in (*change.deleted, *unreadable)]
        knowledge.change_upstreams(upstreams, removed, change.revision)

    return _listener(knowledge, loop, prefix, on_snapshot, on_change)


def take_configuration(knowledge: Knowledge, encoded: bytes, source: str) -> None:
    """Put an encoded configuration in force if it is newer."""
    configuration = decode_configuration(encoded)
    if configuration.is_error():
        knowledge.log_undecodable(CONFIGURATION_KEY, configuration.error.reason)
        return
    knowledge.on_configuration(configuration.ok, encoded, source)


def _listener(
    knowledge: Knowledge,
    loop: asyncio.AbstractEventLoop,
    prefix: str,
    on_snapshot: Callable[[Snapshot], None],
    on_change: Callable[[WatchBatch], None],
) -> Listener:
    """Return a listener that runs on the event loop, whatever thread calls it."""

    def heard(handle: Callable, found: Snapshot | WatchBatch) -> None:
        knowledge.on_store_heard(prefix)
        handle(found)

    def post(handle: Callable) -> Callable:
        return lambda found: loop.call_soon_threadsafe(heard, handle, found)

    def on_lost(reason: str) -> None:
        loop.call_soon_threadsafe(knowledge.on_store_lost, prefix, reason)

    return Listener(post(on_snapshot), post(on_change), on_lost)


def _take_operator_entry(knowledge: Knowledge, entry: KvEntry) -> None:
    if entry.key == CONFIGURATION_KEY:
        take_configuration(knowledge, entry.value, SOURCE)
        return
    if entry.key.startswith(WEIGHTS_PREFIX):
        weights = decode_weights(entry.key, entry.value)
        if weights.is_error():
            knowledge.log_undecodable(entry.key, weights.error.reason)
            return
        knowledge.on_weights(weights.ok.model, weights.ok.version, SOURCE)


def _decode_upstreams(
    knowledge: Knowledge, entries: Iterable[KvEntry]
) -> tuple[list[Upstream], list[str]]:
    """Return the upstreams, and the keys of entries that name none."""
    upstreams: list[Upstream] = []
    unreadable: list[str] = []
    for entry in entries:
        upstream = decode_upstream(entry.key, entry.value)
        if upstream.is_ok():
            upstreams.append(upstream.ok)
            continue
        unreadable.append(entry.key)
        knowledge.log_undecodable(entry.key, upstream.error.reason)
    return upstreams, unreadable
