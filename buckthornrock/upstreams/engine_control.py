"""Calls to model engines beside the completions: load, cache events, cancel.

They have short timeouts and connections of their own, so that a stalled engine
holds up neither streams nor the calls to other engines.
"""

from typing import Any, TypeVar

import msgspec
import urllib3
from expression import Error, Ok, Result

from .engine_messages import CacheEvents, LoadReport
from .errors import AttemptFailed

N_POOLED_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 0.25
READ_TIMEOUT_S = 0.5

T = TypeVar("T")


class EngineControl:
    """Connections for short calls to engines."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = urllib3.PoolManager(
            maxsize=N_POOLED_CONNECTIONS, retries=False, timeout=timeout
        )

    def load(self, address: str) -> Result[LoadReport, AttemptFailed]:
        """Return the engine's load report."""
        return self._call("GET", address, "/load", LoadReport)

    def events(self, address: str, since: int) -> Result[CacheEvents, AttemptFailed]:
        """Return the engine's cache events after number ``since``."""
        return self._call("GET", address, f"/kv_events?since={since}", CacheEvents)

    def cancel(self, address: str, stream_id: str) -> Result[Any, AttemptFailed]:
        """Free the engine from a stream that nobody reads."""
        return self._call("POST", address, f"/v1/streams/{stream_id}/cancel", Any)

    def _call(
        self, method: str, address: str, path: str, answer: type[T]
    ) -> Result[T, AttemptFailed]:
        try:
            response = self._pool.request(method, f"http://{address}{path}")
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Error(AttemptFailed(address, type(error).__name__, "true"))
        except urllib3.exceptions.HTTPError as error:
            return Error(AttemptFailed(address, type(error).__name__, "unknown"))
        if response.status != 200:
            reason = f"status {response.status}"
            return Error(AttemptFailed(address, reason, "unknown"))
        try:
            return Ok(msgspec.json.decode(response.data, type=answer))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Error(AttemptFailed(address, type(error).__name__, "unknown"))
