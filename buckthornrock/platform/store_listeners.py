"""Applies what a watcher reads from the store to the gateway's fleet state."""

import asyncio
from collections.abc import Callable, Iterable

from ..catalog.isolation_record import RECORD_KEY, decode_record
from ..catalog.upstreams import Upstream
from ..gateway.fleet_state import FleetState
from ..gateway.isolation_recorder import RecordedAccounts
from ..rollout import wanted_record
from ..store.kv_port import KvEntry, Snapshot, WatchBatch, payload
from ..store.store_watcher import Listener
from .configuration import decode_configuration
from .upstream_entries import (
    CONFIGURATION_KEY,
    UPSTREAMS_PREFIX,
    WEIGHTS_PREFIX,
    decode_upstream,
    decode_weights,
)

SOURCE = "store"


def store_listener(
    fleet_state: FleetState,
    loop: asyncio.AbstractEventLoop,
    wall_ms: Callable[[], int],
    recorded_accounts: RecordedAccounts,
) -> Listener:
    """Return a listener that any thread may call; it runs on the event loop.

    ``wall_ms`` returns the time of day in Unix milliseconds. The times since which
    versions are wanted, and the recorded isolated accounts, are applied from the first
    listing and the first batch of changes only, which brings what the listing lacked
    if it was stale. Later, the process's own state is newer. ``recorded_accounts`` is
    used to compare the record with the accounts that the process knows. Missing ones
    are requested with changes only: every instance gets a first listing, and few of
    them watch for changes.
    """
    unread = {Snapshot, WatchBatch}

    def on_snapshot(snapshot: Snapshot) -> None:
        _apply_operator_entries(fleet_state, snapshot.entries)
        upstreams, _ = _decode_upstreams(fleet_state, snapshot.entries)
        fleet_state.upstreams.replace(upstreams, snapshot.revision)

    def on_change(change: WatchBatch) -> None:
        _apply_operator_entries(fleet_state, change.entries)
        upstreams, undecodable = _decode_upstreams(fleet_state, change.entries)
        removed = [
            key.removeprefix(UPSTREAMS_PREFIX)
            for key in (*change.deleted, *undecodable)
            if key.startswith(UPSTREAMS_PREFIX)
        ]
        fleet_state.upstreams.change(upstreams, removed, change.revision)

    def on_received(handle: Callable, received: Snapshot | WatchBatch) -> None:
        fleet_state.store_contact.on_call_answered()
        handle(received)
        names = _read_isolation_record(fleet_state, received)
        if names is not None:
            recorded_accounts.on_recorded(names)
        if type(received) in unread:
            unread.remove(type(received))
            _apply_wanted_records(fleet_state, received.entries, wall_ms())
            # The configuration tells which of the recorded accounts were removed.
            fleet_state.configuration.on_removed_isolated_accounts(names or (), SOURCE)
        if isinstance(received, WatchBatch):
            known = fleet_state.configuration.isolated_or_removed_accounts
            recorded_accounts.request_missing(known)

    def post(handle: Callable) -> Callable:
        return lambda received: loop.call_soon_threadsafe(on_received, handle, received)

    def on_lost(reason: str) -> None:
        loop.call_soon_threadsafe(fleet_state.upstreams.on_store_failed, reason)

    return Listener(post(on_snapshot), post(on_change), on_lost)


def apply_configuration(fleet_state: FleetState, encoded: bytes, source: str) -> None:
    """Put an encoded configuration into force if it is newer than the current one."""
    configuration = decode_configuration(encoded)
    if configuration.is_error():
        fleet_state.log_undecodable(CONFIGURATION_KEY, configuration.error.reason)
        return
    fleet_state.on_configuration(configuration.ok, encoded, source)


def _apply_operator_entries(
    fleet_state: FleetState, entries: Iterable[KvEntry]
) -> None:
    for entry in entries:
        if entry.key == CONFIGURATION_KEY:
            apply_configuration(fleet_state, entry.value, SOURCE)
        elif entry.key.startswith(WEIGHTS_PREFIX):
            _apply_weights(fleet_state, entry)


def _apply_weights(fleet_state: FleetState, entry: KvEntry) -> None:
    weights = decode_weights(entry.key, entry.value)
    if weights.is_error():
        fleet_state.log_undecodable(entry.key, weights.error.reason)
        return
    fleet_state.wanted_versions.on_wanted(weights.ok.model, weights.ok.version, SOURCE)


def _read_isolation_record(
    fleet_state: FleetState, received: Snapshot | WatchBatch
) -> frozenset[str] | None:
    """Return the accounts that the record names, None if it isn't part of this.

    A record that was removed or can't be decoded names none.
    """
    for entry in received.entries:
        if entry.key == RECORD_KEY:
            record = decode_record(payload(entry))
            if record.is_error():
                fleet_state.log_undecodable(entry.key, record.error.reason)
            return record.default_value(frozenset())
    is_removed = isinstance(received, Snapshot) or RECORD_KEY in received.deleted
    return frozenset() if is_removed else None


def _apply_wanted_records(
    fleet_state: FleetState, entries: Iterable[KvEntry], wall_ms: int
) -> None:
    """Apply since when versions are wanted, as the store records it."""
    for entry in entries:
        if not entry.key.startswith(wanted_record.RECORD_PREFIX):
            continue
        record = wanted_record.decode_record(payload(entry), wall_ms)
        if record.is_error():
            fleet_state.log_undecodable(entry.key, record.error.reason)
            continue
        model = entry.key.removeprefix(wanted_record.RECORD_PREFIX)
        fleet_state.wanted_versions.on_record(model, record.ok)


def _decode_upstreams(
    fleet_state: FleetState, entries: Iterable[KvEntry]
) -> tuple[list[Upstream], list[str]]:
    """Return the upstreams, and the keys of their entries that can't be decoded."""
    upstreams: list[Upstream] = []
    undecodable: list[str] = []
    for entry in entries:
        if not entry.key.startswith(UPSTREAMS_PREFIX):
            continue
        upstream = decode_upstream(entry.key, entry.value)
        if upstream.is_ok():
            upstreams.append(upstream.ok)
            continue
        undecodable.append(entry.key)
        fleet_state.log_undecodable(entry.key, upstream.error.reason)
    return upstreams, undecodable
