"""Lets instances that don't watch the store pull newer state from a peer.

In a large fleet most instances don't watch it. In a small one this covers simultaneous
restarts of many instances during an outage of the store, and stores that refuse single
instances. A snapshot carries the peer's configuration version and store revision and
never replaces newer state.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import pynng
from expression import Error, Result

from ..catalog.upstreams import Upstream
from ..events import gateway as events
from ..runtime.decoding import ExactInt, Malformed, decode_msgpack, malformed
from ..telemetry import Telemetry
from .fleet_state import FleetState
from .ports import ConfigurationDecoder

#: Delay before an instance that watches the store asks a peer, so that the store can
#: deliver the same state first.
STORE_HEAD_START_MS = 250.0
#: Minimum interval between snapshot requests that are for the upstreams alone.
UPSTREAMS_PERIOD_MS = 500.0
REQUEST_TIMEOUT_MS = 1_000
#: Limits on a received snapshot, compressed and decompressed.
MAX_SNAPSHOT_BYTES = 4_194_304
MAX_DECOMPRESSED_BYTES = 33_554_432
#: The fastest level: the requesting peer waits while the snapshot is compressed.
COMPRESSION_LEVEL = 1


class SnapshotRequest(msgspec.Struct, array_like=True):
    """Configuration version and store revision of the requesting instance."""

    configuration_version: int
    revision: int


class StateSnapshot(msgspec.Struct, array_like=True):
    """The parts of a peer's state that are newer than the request's.

    ``configuration`` is as the operators wrote it, b"" if the peer's is not newer;
    ``upstreams`` is None if the peer's revision is not newer. ``weights`` holds the
    wanted version of each model and for how many milliseconds it has been wanted,
    ``older_weights`` the same of earlier versions. The store confirmed the peer's state
    ``store_age_ms`` ago, -1 if it never did. ``removed_isolated_accounts`` names
    accounts that were isolated when they were removed.
    """

    configuration: bytes
    revision: int
    upstreams: list[Upstream] | None
    weights: dict[str, tuple[int, ExactInt]] = {}
    store_age_ms: ExactInt = -1
    older_weights: dict[str, list[tuple[int, ExactInt]]] = {}
    removed_isolated_accounts: list[str] = []


class PeerVersions(NamedTuple):
    """A peer's configuration version and store revision, as given in its digest."""

    address: str
    configuration_version: int
    revision: int


class StateSync:
    """Serves snapshots to peers, and requests one from a peer that has newer state.

    Parameters
    ----------
    address : str
        IP:PORT where peers send snapshot requests.
    fleet_state : FleetState
        The state that is served and updated.
    decode : callable
        Decodes a configuration.
    telemetry : Telemetry
        Logs failures.
    now_ms : callable
        Monotonic milliseconds.

    Attributes
    ----------
    n_snapshots_sent, n_bytes_sent : int
        Snapshots sent to peers, and their compressed size.
    """

    def __init__(
        self,
        address: str,
        fleet_state: FleetState,
        decode: ConfigurationDecoder,
        telemetry: Telemetry,
        now_ms: Callable[[], float],
    ) -> None:
        self.n_snapshots_sent = 0
        self.n_bytes_sent = 0
        self._address = address
        self._fleet_state = fleet_state
        self._decode = decode
        self._telemetry = telemetry
        self._now_ms = now_ms
        self._n_bytes_logged = 0
        self._requested_at_ms = -UPSTREAMS_PERIOD_MS
        self._request_task: asyncio.Task | None = None

    async def run(self) -> None:
        """Serve snapshot requests until cancelled."""
        with pynng.Rep0(listen=f"tcp://{self._address}") as socket:
            while True:
                snapshot = self._respond(await socket.arecv())
                self.n_snapshots_sent += 1
                self.n_bytes_sent += len(snapshot)
                await socket.asend(snapshot)

    def on_peer_versions(self, peer: PeerVersions) -> None:
        """Request a snapshot if the peer is ahead and no request is under way."""
        if not self.is_behind(peer):
            return
        if self._request_task is None or self._request_task.done():
            self._request_task = asyncio.create_task(self._request_snapshot(peer))

    def _respond(self, data: bytes) -> bytes:
        decoded = decode_msgpack(data, SnapshotRequest)
        if decoded.is_error():
            self._fleet_state.log_undecodable("copy request", decoded.error.reason)
        request = decoded.ok if decoded.is_ok() else SnapshotRequest(0, 0)
        snapshot = encode_snapshot(self._fleet_state, request)
        if len(snapshot) <= MAX_SNAPSHOT_BYTES:
            return snapshot
        self._log_too_large(len(snapshot))
        return _encode_part(self._fleet_state, request)

    def _log_too_large(self, n_bytes: int) -> None:
        """Log a size once; peers ask again every second."""
        if n_bytes == self._n_bytes_logged:
            return
        self._n_bytes_logged = n_bytes
        self._telemetry.log(
            events.SNAPSHOT_TOO_LARGE, n_bytes=n_bytes, max_bytes=MAX_SNAPSHOT_BYTES
        )

    def is_behind(self, peer: PeerVersions) -> bool:
        """Return whether a snapshot of the peer is wanted now."""
        fleet_state = self._fleet_state
        if peer.configuration_version > fleet_state.configuration.version:
            return True
        if self._now_ms() - self._requested_at_ms < UPSTREAMS_PERIOD_MS:
            return False
        return (
            fleet_state.needs_peers and peer.revision > fleet_state.upstreams.revision
        )

    def head_start_ms(self) -> float:
        """Return how long to wait for the store before asking a peer."""
        return 0.0 if self._fleet_state.needs_peers else STORE_HEAD_START_MS

    def begin_request(self) -> SnapshotRequest:
        """Return the request for what is newer than this instance's state."""
        self._requested_at_ms = self._now_ms()
        fleet_state = self._fleet_state
        return SnapshotRequest(
            fleet_state.configuration.version, fleet_state.upstreams.revision
        )

    def apply(self, data: bytes, source: str) -> None:
        """Apply an encoded snapshot of a peer, unless it can't be decoded."""
        fleet_state = self._fleet_state
        decoded = _decode_snapshot(data)
        if decoded.is_error():
            fleet_state.log_undecodable("copy", decoded.error.reason)
            return
        snapshot = decoded.ok
        if snapshot.configuration:
            configuration = self._decode(snapshot.configuration)
            if configuration.is_error():
                fleet_state.log_undecodable("copy", configuration.error.reason)
            else:
                fleet_state.on_configuration(
                    configuration.ok, snapshot.configuration, source
                )
        fleet_state.configuration.on_removed_isolated_accounts(
            snapshot.removed_isolated_accounts, source
        )
        fleet_state.wanted_versions.on_ages(
            snapshot.weights, snapshot.older_weights, source
        )
        if snapshot.upstreams is None or not fleet_state.needs_peers:
            return
        upstreams = [
            u for u in snapshot.upstreams if fleet_state.upstreams.is_usable(u)
        ]
        fleet_state.upstreams.replace_from_peer(
            upstreams, snapshot.revision, snapshot.store_age_ms
        )

    async def _request_snapshot(self, peer: PeerVersions) -> None:
        if head_start_ms := self.head_start_ms():
            await asyncio.sleep(head_start_ms / 1000.0)
            if not self.is_behind(peer):
                return
        request = self.begin_request()
        try:
            self.apply(await _send_request(peer.address, request), peer.address)
        except pynng.NNGException as error:
            self._telemetry.log(
                events.PEER_SILENT, peer=peer.address, reason=type(error).__name__
            )


def encode_snapshot(fleet_state: FleetState, request: SnapshotRequest) -> bytes:
    """Return the compressed snapshot of the state that is newer than the request's."""
    has_newer = fleet_state.configuration.version > request.configuration_version
    has_changes = fleet_state.upstreams.revision > request.revision
    snapshot = StateSnapshot(
        fleet_state.configuration.encoded if has_newer else b"",
        fleet_state.upstreams.revision,
        fleet_state.directory.registered() if has_changes else None,
        fleet_state.wanted_versions.ages(),
        fleet_state.store_contact.rounded_age_ms(),
        fleet_state.wanted_versions.older_ages(),
        list(fleet_state.configuration.removed_isolated_accounts),
    )
    return zlib.compress(msgspec.msgpack.encode(snapshot), COMPRESSION_LEVEL)


def _encode_part(fleet_state: FleetState, request: SnapshotRequest) -> bytes:
    """Return the largest part of a snapshot that fits; the peer asks for the rest."""
    version, revision = (
        fleet_state.configuration.version,
        fleet_state.upstreams.revision,
    )
    parts = (
        SnapshotRequest(request.configuration_version, revision),
        SnapshotRequest(version, request.revision),
    )
    for part in parts:
        snapshot = encode_snapshot(fleet_state, part)
        if len(snapshot) <= MAX_SNAPSHOT_BYTES:
            return snapshot
    return encode_snapshot(fleet_state, SnapshotRequest(version, revision))


def _decode_snapshot(data: bytes) -> Result[StateSnapshot, Malformed]:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        return Error(malformed(error))
    if decompressor.unconsumed_tail:
        return Error(Malformed(f"a snapshot exceeds {MAX_DECOMPRESSED_BYTES} bytes"))
    return decode_msgpack(decompressed, StateSnapshot)


async def _send_request(address: str, request: SnapshotRequest) -> bytes:
    with pynng.Req0(
        dial=f"tcp://{address}",
        block_on_dial=False,
        send_timeout=REQUEST_TIMEOUT_MS,
        recv_timeout=REQUEST_TIMEOUT_MS,
        recv_max_size=MAX_SNAPSHOT_BYTES,
    ) as socket:
        await socket.asend(msgspec.msgpack.encode(request))
        return await socket.arecv()
