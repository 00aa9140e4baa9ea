"""Lets instances that can't reach the store take what they lack from a peer.

Answers herd restarts during an outage of the store, and stores that turn single
instances away: a peer's copy carries its version or revision, and never replaces a
newer one.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import pynng

from ..catalog.upstreams import Upstream
from ..events import gateway as events
from ..telemetry import Telemetry
from .fleet_state import FleetState
from .ports import ConfigurationDecoder

#: What a peer has is expected from the store itself for this long.
STORE_HEAD_START_MS = 250.0
#: Upstreams alone are copied this often at most.
UPSTREAMS_PERIOD_MS = 500.0
REQUEST_TIMEOUT_MS = 1_000
#: Largest copy that is taken over, as it is sent and unpacked.
MAX_COPY_BYTES = 4_194_304
MAX_UNPACKED_BYTES = 33_554_432
#: Fast, since a copy waits for it.
COMPRESSION_LEVEL = 1


class SnapshotRequest(msgspec.Struct, array_like=True):
    """How far the knowledge of the instance that asks goes."""

    configuration_version: int
    revision: int


class StateSnapshot(msgspec.Struct, array_like=True):
    """What a peer knows beyond that, packed for the way.

    ``configuration`` is as the operators wrote it, b"" if it is not newer;
    ``upstreams`` is None if the revision is not.
    """

    configuration: bytes
    revision: int
    upstreams: list[Upstream] | None


class PeerVersions(NamedTuple):
    """How far a peer's knowledge goes, by its digest."""

    address: str
    configuration_version: int
    revision: int


class StateSync:
    """Answers peers with a copy of what they lack, and asks those that are ahead.

    Parameters
    ----------
    address : str
        IP:PORT where peers ask.
    fleet_state : FleetState
        What is copied and filled in.
    decode : callable
        Decodes a configuration.
    telemetry : Telemetry
        Receives failures.
    now_ms : callable
        Monotonic milliseconds.

    Attributes
    ----------
    n_copies_sent, n_bytes_sent : int
        Copies that peers were given.
    """

    def __init__(
        self,
        address: str,
        fleet_state: FleetState,
        decode: ConfigurationDecoder,
        telemetry: Telemetry,
        now_ms: Callable[[], float],
    ) -> None:
        self.n_copies_sent = 0
        self.n_bytes_sent = 0
        self._address = address
        self._fleet_state = fleet_state
        self._decode = decode
        self._telemetry = telemetry
        self._now_ms = now_ms
        self._asked_at_ms = -UPSTREAMS_PERIOD_MS
        self._asking: asyncio.Task | None = None

    async def run(self) -> None:
        """Answer peers until cancelled."""
        with pynng.Rep0(listen=f"tcp://{self._address}") as socket:
            while True:
                copy = self._answer(await socket.arecv())
                self.n_copies_sent += 1
                self.n_bytes_sent += len(copy)
                await socket.asend(copy)

    def on_peer_ahead(self, peer: PeerVersions) -> None:
        """Ask a peer for what this instance lacks, unless one is being asked."""
        if not self._lacks(peer):
            return
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask(peer))

    def _answer(self, data: bytes) -> bytes:
        try:
            request = msgspec.msgpack.decode(data, type=SnapshotRequest)
        except msgspec.MsgspecError as error:
            self._fleet_state.log_undecodable("copy request", str(error))
            request = SnapshotRequest(0, 0)
        return encode_snapshot(self._fleet_state, request)

    def _lacks(self, peer: PeerVersions) -> bool:
        fleet_state = self._fleet_state
        if peer.configuration_version > fleet_state.configuration_version:
            return True
        if self._now_ms() - self._asked_at_ms < UPSTREAMS_PERIOD_MS:
            return False
        return fleet_state.needs_upstreams and peer.revision > fleet_state.revision

    async def _ask(self, peer: PeerVersions) -> None:
        await asyncio.sleep(STORE_HEAD_START_MS / 1000.0)
        if not self._lacks(peer):
            return
        self._asked_at_ms = self._now_ms()
        fleet_state = self._fleet_state
        request = SnapshotRequest(
            fleet_state.configuration_version, fleet_state.revision
        )
        try:
            copy = _decode_copy(await _request(peer.address, request))
        except (pynng.NNGException, msgspec.MsgspecError, zlib.error) as error:
            self._telemetry.log(
                events.PEER_SILENT, peer=peer.address, reason=type(error).__name__
            )
            return
        self._take(copy, peer.address)

    def _take(self, copy: StateSnapshot, source: str) -> None:
        fleet_state = self._fleet_state
        if copy.configuration:
            configuration = self._decode(copy.configuration)
            if configuration.is_error():
                fleet_state.log_undecodable("copy", configuration.error.reason)
                return
            fleet_state.on_configuration(configuration.ok, copy.configuration, source)
        is_newer = copy.upstreams is not None and copy.revision > fleet_state.revision
        if fleet_state.needs_upstreams and is_newer:
            fleet_state.copy_upstreams(copy.upstreams, copy.revision)


def encode_snapshot(fleet_state: FleetState, request: SnapshotRequest) -> bytes:
    """Return what is known beyond what a peer has."""
    has_newer = fleet_state.configuration_version > request.configuration_version
    has_changes = fleet_state.revision > request.revision
    copy = StateSnapshot(
        fleet_state.encoded_configuration if has_newer else b"",
        fleet_state.revision,
        fleet_state.directory.all() if has_changes else None,
    )
    return zlib.compress(msgspec.msgpack.encode(copy), COMPRESSION_LEVEL)


def _decode_copy(data: bytes) -> StateSnapshot:
    unpacked = zlib.decompressobj().decompress(data, MAX_UNPACKED_BYTES)
    return msgspec.msgpack.decode(unpacked, type=StateSnapshot)


async def _request(address: str, request: SnapshotRequest) -> bytes:
    with pynng.Req0(
        dial=f"tcp://{address}",
        block_on_dial=False,
        send_timeout=REQUEST_TIMEOUT_MS,
        recv_timeout=REQUEST_TIMEOUT_MS,
        recv_max_size=MAX_COPY_BYTES,
    ) as socket:
        await socket.asend(msgspec.msgpack.encode(request))
        return await socket.arecv()
