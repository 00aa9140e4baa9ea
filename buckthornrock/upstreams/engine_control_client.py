"""Calls to model engines other than completions.

Load reports, cache events, cancels and transfers of cached blocks use short timeouts
and separate connections, so that a stalled engine delays neither streams nor calls to
other engines.
"""

from typing import Any, TypeVar

import msgspec
import urllib3
from expression import Error, Result

from ..runtime.bounded_http import ResponseLimit, bounded_pool_manager
from ..runtime.decoding import decode_json
from .engine_messages import (
    CacheEvents,
    CacheTransfer,
    CacheTransferred,
    LoadReport,
)
from .errors import AttemptFailed

N_POOLED_CONNECTIONS = 4
CONNECT_TIMEOUT_S = 0.25
READ_TIMEOUT_S = 0.5
#: Time and size limit of a response.
RESPONSE_LIMIT_MS = 1_000.0
MAX_RESPONSE_BYTES = 16_777_216

T = TypeVar("T")


class EngineControlClient:
    """Client for short calls to engines."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        limit = ResponseLimit(RESPONSE_LIMIT_MS, MAX_RESPONSE_BYTES)
        self._pool = bounded_pool_manager(limit, timeout, N_POOLED_CONNECTIONS)

    def load(self, address: str) -> Result[LoadReport, AttemptFailed]:
        """Return the engine's load report."""
        return self._call("GET", address, "/load", LoadReport)

    def events(self, address: str, since: int) -> Result[CacheEvents, AttemptFailed]:
        """Return the engine's cache events after number ``since``."""
        return self._call("GET", address, f"/kv_events?since={since}", CacheEvents)

    def cancel(self, address: str, stream_id: str) -> Result[Any, AttemptFailed]:
        """Cancel a stream, so that the engine stops computing it."""
        return self._call("POST", address, f"/v1/streams/{stream_id}/cancel", Any)

    def export_cache(
        self, address: str, cache_salt: str, hashes: tuple[str, ...], store: str
    ) -> Result[CacheTransferred, AttemptFailed]:
        """Make the engine copy blocks to the cache store."""
        body = CacheTransfer(cache_salt, hashes, store)
        return self._call("POST", address, "/kv_cache/export", CacheTransferred, body)

    def import_cache(
        self, address: str, cache_salt: str, hashes: tuple[str, ...], store: str
    ) -> Result[CacheTransferred, AttemptFailed]:
        """Make the engine copy blocks from the cache store."""
        body = CacheTransfer(cache_salt, hashes, store)
        return self._call("POST", address, "/kv_cache/import", CacheTransferred, body)

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        response_type: type[T],
        body: CacheTransfer | None = None,
    ) -> Result[T, AttemptFailed]:
        url = f"http://{address}{path}"
        raw = msgspec.json.encode(body) if body is not None else None
        try:
            response = self._pool.request(method, url, body=raw)
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
        return decode_json(response.data, response_type).map_error(
            lambda error: AttemptFailed(address, error.reason, "unknown")
        )
