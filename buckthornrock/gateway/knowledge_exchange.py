"""Lets instances that can't reach the store take what they lack from a peer.

Answers herd restarts during an outage of the store, and stores that turn single
instances away: a peer's copy carries its version or revision, and never replaces a
newer one.
"""

import asyncio
from typing import NamedTuple

import msgspec
import pynng

from ..catalog.upstreams import Upstream
from ..events import gateway as events
from ..telemetry import Telemetry
from .knowledge import Knowledge
from .ports import ConfigurationDecoder

#: What a peer has is expected from the store itself for this long.
STORE_HEAD_START_MS = 250.0
REQUEST_TIMEOUT_MS = 1_000
#: Largest copy that is taken over.
MAX_COPY_BYTES = 4_194_304
_REQUEST = b"copy"


class KnowledgeCopy(msgspec.Struct, array_like=True):
    """What a peer knows; ``configuration`` is as the operators wrote it."""

    configuration: bytes
    revision: int
    upstreams: list[Upstream]


class PeerState(NamedTuple):
    """How far a peer's knowledge goes, by its digest."""

    address: str
    configuration_version: int
    revision: int


class KnowledgeExchange:
    """Answers peers with a copy of what is known, and asks those that are ahead.

    Parameters
    ----------
    address : str
        IP:PORT where peers ask.
    knowledge : Knowledge
        What is copied and filled in.
    decode : callable
        Decodes a configuration.
    telemetry : Telemetry
        Receives failures.
    """

    def __init__(
        self,
        address: str,
        knowledge: Knowledge,
        decode: ConfigurationDecoder,
        telemetry: Telemetry,
    ) -> None:
        self._address = address
        self._knowledge = knowledge
        self._decode = decode
        self._telemetry = telemetry
        self._asking: asyncio.Task | None = None

    async def run(self) -> None:
        """Answer peers until cancelled."""
        with pynng.Rep0(listen=f"tcp://{self._address}") as socket:
            while True:
                await socket.arecv()
                await socket.asend(encode_copy(self._knowledge))

    def on_peer_ahead(self, peer: PeerState) -> None:
        """Ask a peer for what this instance lacks, unless one is being asked."""
        if not self._lacks(peer):
            return
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask(peer))

    def _lacks(self, peer: PeerState) -> bool:
        knowledge = self._knowledge
        if peer.configuration_version > knowledge.configuration_version:
            return True
        return knowledge.needs_upstreams and peer.revision > knowledge.revision

    async def _ask(self, peer: PeerState) -> None:
        await asyncio.sleep(STORE_HEAD_START_MS / 1000.0)
        if not self._lacks(peer):
            return
        try:
            copy = msgspec.msgpack.decode(
                await _request(peer.address), type=KnowledgeCopy
            )
        except (pynng.NNGException, msgspec.MsgspecError) as error:
            self._telemetry.log(
                events.PEER_SILENT, peer=peer.address, reason=type(error).__name__
            )
            return
        self._take(copy, peer.address)

    def _take(self, copy: KnowledgeCopy, source: str) -> None:
        knowledge = self._knowledge
        if copy.configuration:
            configuration = self._decode(copy.configuration)
            if configuration.is_error():
                knowledge.log_undecodable("copy", configuration.error.reason)
                return
            knowledge.on_configuration(configuration.ok, copy.configuration, source)
        if knowledge.needs_upstreams and copy.revision > knowledge.revision:
            knowledge.copy_upstreams(copy.upstreams, copy.revision)


def encode_copy(knowledge: Knowledge) -> bytes:
    """Return what is known, for a peer."""
    upstreams = knowledge.directory.all()
    copy = KnowledgeCopy(knowledge.encoded_configuration, knowledge.revision, upstreams)
    return msgspec.msgpack.encode(copy)


async def _request(address: str) -> bytes:
    with pynng.Req0(
        dial=f"tcp://{address}",
        block_on_dial=False,
        send_timeout=REQUEST_TIMEOUT_MS,
        recv_timeout=REQUEST_TIMEOUT_MS,
        recv_max_size=MAX_COPY_BYTES,
    ) as socket:
        await socket.asend(_REQUEST)
        return await socket.arecv()
