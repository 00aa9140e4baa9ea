"""Lets instances that can't reach the store take the configuration from a peer."""

import asyncio
from collections.abc import Callable

import pynng

from ..events import gateway as events
from ..telemetry import Telemetry

#: A newer version is expected from the store itself for this long.
STORE_HEAD_START_MS = 250.0
REQUEST_TIMEOUT_MS = 1_000
#: Largest configuration that is taken over.
MAX_CONFIGURATION_BYTES = 2_097_152
_REQUEST = b"configuration"


class ConfigurationExchange:
    """Answers peers with the configuration in force, and asks those that are ahead.

    Parameters
    ----------
    address : str
        IP:PORT where peers ask.
    read : callable
        ``read() -> bytes``, the encoded configuration in force, b"" before any.
    version : callable
        ``version() -> int``, the version in force.
    take : callable
        ``take(encoded, source)`` puts a configuration in force if it is newer.
    telemetry : Telemetry
        Receives failures.
    """

    def __init__(
        self,
        address: str,
        read: Callable[[], bytes],
        version: Callable[[], int],
        take: Callable[[bytes, str], None],
        telemetry: Telemetry,
    ) -> None:
        self._address = address
        self._read = read
        self._version = version
        self._take = take
        self._telemetry = telemetry
        self._asking: asyncio.Task | None = None

    async def run(self) -> None:
        """Answer peers until cancelled."""
        with pynng.Rep0(listen=f"tcp://{self._address}") as socket:
            while True:
                await socket.arecv()
                await socket.asend(self._read())

    def on_newer(self, address: str, version: int) -> None:
        """Ask a peer for its newer configuration, unless one is being asked."""
        if self._asking is None or self._asking.done():
            self._asking = asyncio.create_task(self._ask(address, version))

    async def _ask(self, address: str, version: int) -> None:
        await asyncio.sleep(STORE_HEAD_START_MS / 1000.0)
        if self._version() >= version:
            return
        try:
            encoded = await _request(address)
        except pynng.NNGException as error:
            self._telemetry.log(
                events.PEER_SILENT, peer=address, reason=type(error).__name__
            )
            return
        if encoded:
            self._take(encoded, address)


async def _request(address: str) -> bytes:
    with pynng.Req0(
        dial=f"tcp://{address}",
        block_on_dial=False,
        send_timeout=REQUEST_TIMEOUT_MS,
        recv_timeout=REQUEST_TIMEOUT_MS,
        recv_max_size=MAX_CONFIGURATION_BYTES,
    ) as socket:
        await socket.asend(_REQUEST)
        return await socket.arecv()
