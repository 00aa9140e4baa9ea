"""Turns changes of the store into what the gateway knows."""

import asyncio
from collections.abc import Callable, Iterable

from ..catalog.upstreams import Upstream
from ..gateway.fleet_state import FleetState
from ..store.kv_port import KvEntry, Snapshot, WatchBatch
from ..store.prefix_watcher import Listener
from .configuration import decode_configuration
from .upstream_entries import (
    CONFIGURATION_KEY,
    WEIGHTS_PREFIX,
    decode_upstream,
    decode_weights,
)

SOURCE = "store"


def operator_listener(
    fleet_state: FleetState, loop: asyncio.AbstractEventLoop, prefix: str
) -> Listener:
    """Return a listener for the operators' keys."""

    def take(entries: Iterable[KvEntry]) -> None:
        for entry in entries:
            _take_operator_entry(fleet_state, entry)

    return _listener(
        fleet_state,
        loop,
        prefix,
        on_snapshot=lambda snapshot: take(snapshot.entries),
        on_change=lambda change: take(change.entries),
    )


def upstream_listener(
    fleet_state: FleetState, loop: asyncio.AbstractEventLoop, prefix: str
) -> Listener:
    """Return a listener for the upstreams' entries."""

    def on_snapshot(snapshot: Snapshot) -> None:
        upstreams, _ = _decode_upstreams(fleet_state, snapshot.entries)
        fleet_state.replace_upstreams(upstreams, snapshot.revision)

    def on_change(change: WatchBatch) -> None:
        upstreams, unreadable = _decode_upstreams(fleet_state, change.entries)
        removed = [key.removeprefix(prefix) for key in (*change.deleted, *unreadable)]
        fleet_state.change_upstreams(upstreams, removed, change.revision)

    return _listener(fleet_state, loop, prefix, on_snapshot, on_change)


def take_configuration(fleet_state: FleetState, encoded: bytes, source: str) -> None:
    """Put an encoded configuration in force if it is newer."""
    configuration = decode_configuration(encoded)
    if configuration.is_error():
        fleet_state.log_undecodable(CONFIGURATION_KEY, configuration.error.reason)
        return
    fleet_state.on_configuration(configuration.ok, encoded, source)


def _listener(
    fleet_state: FleetState,
    loop: asyncio.AbstractEventLoop,
    prefix: str,
    on_snapshot: Callable[[Snapshot], None],
    on_change: Callable[[WatchBatch], None],
) -> Listener:
    """Return a listener that runs on the event loop, whatever thread calls it."""

    def heard(handle: Callable, found: Snapshot | WatchBatch) -> None:
        fleet_state.on_store_reachable(prefix)
        handle(found)

    def post(handle: Callable) -> Callable:
        return lambda found: loop.call_soon_threadsafe(heard, handle, found)

    def on_lost(reason: str) -> None:
        loop.call_soon_threadsafe(fleet_state.on_store_lost, prefix, reason)

    return Listener(post(on_snapshot), post(on_change), on_lost)


def _take_operator_entry(fleet_state: FleetState, entry: KvEntry) -> None:
    if entry.key == CONFIGURATION_KEY:
        take_configuration(fleet_state, entry.value, SOURCE)
        return
    if entry.key.startswith(WEIGHTS_PREFIX):
        weights = decode_weights(entry.key, entry.value)
        if weights.is_error():
            fleet_state.log_undecodable(entry.key, weights.error.reason)
            return
        fleet_state.on_weights(weights.ok.model, weights.ok.version, SOURCE)


def _decode_upstreams(
    fleet_state: FleetState, entries: Iterable[KvEntry]
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
        fleet_state.log_undecodable(entry.key, upstream.error.reason)
    return upstreams, unreadable
