"""Calls to model engines: streamed completions and load reports.

Heads, pooling and framing are urllib3's. A stream's body is read part by part as it
comes and handed on without the decoding layers that streamed JSON does not need.
"""

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..conf.settings import UpstreamsSettings
from .engine_messages import LoadReport
from .engine_stream import EngineCall, EngineStream
from .errors import AttemptFailed, StreamFailure, UpstreamRefused

N_POOLED_CONNECTIONS = 64


#: Fields of an engine's request that only the router may set.
ROUTER_FIELDS = frozenset(
    {"cache_salt", "priority", "output_offset", "generated", "resume_stream"}
)


class EngineClient:
    """Connection pools to engines."""

    def __init__(self, settings: UpstreamsSettings) -> None:
        self._timeout = urllib3.Timeout(
            connect=settings.connect_timeout_ms / 1000.0,
            read=settings.read_timeout_ms / 1000.0,
        )
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def load(self, address: str) -> Result[LoadReport, AttemptFailed]:
        """Return the engine's load report."""
        try:
            response = self._pool(address).request("GET", "/load")
            return Ok(msgspec.json.decode(response.data, type=LoadReport))
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as error:
            return Error(AttemptFailed(address, type(error).__name__, "true"))

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        # A pool an engine: urllib3's pool manager parses and merges a URL for each
        # request, which costs as much as sending it.
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = urllib3.HTTPConnectionPool(
                host.strip("[]"),
                int(port),
                maxsize=N_POOLED_CONNECTIONS,
                timeout=self._timeout,
                retries=False,
            )
            pool = self._pools.setdefault(address, pool)
        return pool

    def open_stream(self, call: EngineCall) -> Result[EngineStream, StreamFailure]:
        """Send the completion and return its stream once the head has come."""
        body = {k: v for k, v in call.body.items() if k not in ROUTER_FIELDS}
        body |= {"stream": True, "cache_salt": call.cache_salt}
        body |= {"priority": call.priority, "output_offset": call.output_offset}
        try:
            response = self._pool(call.address).urlopen(
                "POST",
                "/v1/completions",
                body=msgspec.json.encode(body),
                headers={"X-Request-Id": call.request_id},
                retries=False,
                redirect=False,
                assert_same_host=False,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            name = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, name, "true"))
        except urllib3.exceptions.HTTPError as error:
            name = type(error).__name__
            return Error(AttemptFailed(call.upstream_id, name, "unknown"))
        if response.status != 200:
            response.drain_conn()
            return Error(UpstreamRefused(call.upstream_id, response.status))
        return Ok(EngineStream(response, call))
