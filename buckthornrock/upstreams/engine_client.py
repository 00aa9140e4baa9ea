"""Calls to model engines: streamed completions.

urllib3 handles response heads and connection pools. The body of a stream is read from
the socket as it arrives, past the decoding layers that streamed JSON does not need.
"""

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..conf.settings import UpstreamsSettings
from .engine_stream import BrokenStreamError, EngineCall, EngineStream
from .errors import AttemptFailed, StreamBroken, StreamFailure, UpstreamRefused
from .pooled_connection import IdleClosedError, PooledConnection

N_POOLED_CONNECTIONS = 64


#: Fields of an engine request that only the router may set. It never sets
#: ``stream_options``: the usage event that they request has no token and no offset.
ROUTER_FIELDS = frozenset(
    {"cache_salt", "priority", "output_offset", "generated", "resume_stream"}
    | {"stream_options"}
)


class _EnginePool(urllib3.HTTPConnectionPool):
    ConnectionCls = PooledConnection


class EngineClient:
    """Connection pools to engines."""

    def __init__(self, settings: UpstreamsSettings) -> None:
        self._settings = settings
        self._pools: dict[str, _EnginePool] = {}

    def open_stream(self, call: EngineCall) -> Result[EngineStream, StreamFailure]:
        """Send the completion and return its stream once the response head has arrived.

        If a pooled connection turns out to be closed before the response, the
        completion is sent once more on a new connection. This is safe because an
        engine aborts what it started on the closed connection and generates the same
        tokens again.
        """
        try:
            response = self._send(self._pool(call.address), call)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            name = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, name, "true"))
        except urllib3.exceptions.HTTPError as error:
            if _is_idle_closed(error):
                return self._resend(call)
            name = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, name, "unknown"))
        return _stream_or_failure(response, call)

    def _resend(self, call: EngineCall) -> Result[EngineStream, StreamFailure]:
        try:
            response = self._send(_open_pool(call.address, 1), call)
        except urllib3.exceptions.HTTPError as error:
            # Whatever happened to this attempt, the first one may have run.
            name = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, name, "unknown"))
        return _stream_or_failure(response, call)

    def _send(self, pool: _EnginePool, call: EngineCall) -> urllib3.BaseHTTPResponse:
        return pool.urlopen(
            "POST",
            "/v1/completions",
            body=msgspec.json.encode(_body(call)),
            headers={"X-Request-Id": call.request_id},
            preload_content=False,
            retries=False,
            redirect=False,
            assert_same_host=False,
            timeout=self._timeout(call),
        )

    def _pool(self, address: str) -> _EnginePool:
        # One pool per engine instead of urllib3's pool manager, which parses and
        # merges a URL for each request; that costs as much as sending the request.
        pool = self._pools.get(address)
        if pool is None:
            pool = _open_pool(address, N_POOLED_CONNECTIONS)
            pool = self._pools.setdefault(address, pool)
        return pool

    def _timeout(self, call: EngineCall) -> urllib3.Timeout:
        read_ms = min(call.timeout_ms, self._settings.first_token_timeout_ms)
        return urllib3.Timeout(
            connect=self._settings.connect_timeout_ms / 1000.0, read=read_ms / 1000.0
        )


def _open_pool(address: str, n_connections: int) -> _EnginePool:
    host, _, port = address.rpartition(":")
    return _EnginePool(
        host.strip("[]"), int(port), maxsize=n_connections, retries=False
    )


def _body(call: EngineCall) -> dict:
    body = {k: v for k, v in call.body.items() if k not in ROUTER_FIELDS}
    body |= {"stream": True, "cache_salt": call.cache_salt}
    body |= {"priority": call.priority, "output_offset": call.output_offset}
    if call.generated:
        body["generated"] = call.generated
    if call.resume_stream:
        body["resume_stream"] = call.resume_stream
    return body


def _is_idle_closed(error: urllib3.exceptions.HTTPError) -> bool:
    return any(isinstance(cause, IdleClosedError) for cause in error.args)


def _stream_or_failure(
    response: urllib3.BaseHTTPResponse, call: EngineCall
) -> Result[EngineStream, StreamFailure]:
    if response.status != 200:
        response.drain_conn()
        return Error(UpstreamRefused(call.upstream_id, response.status))
    try:
        return Ok(EngineStream(response, call))
    except BrokenStreamError as error:
        response.close()
        failure = StreamBroken(call.upstream_id, error.reason, error.is_connection_lost)
        return Error(failure)
