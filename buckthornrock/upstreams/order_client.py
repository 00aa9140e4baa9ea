"""Sends orders to engines and reads their order state."""

from typing import NamedTuple

import msgspec
import urllib3
from expression import Error, Ok, Result

from ..runtime.bounded_http import ResponseLimit, bounded_pool_manager
from ..runtime.decoding import decode_json
from .errors import AttemptFailed
from .order_messages import EngineOrder, EngineOrderState, OrderRefusal

N_POOLED_CONNECTIONS = 2
CONNECT_SHARE = 0.5
MAX_RESPONSE_BYTES = 1_048_576


class OrderOutdated(NamedTuple):
    """The engine has seen a higher fencing number, so another instance is leader."""

    upstream_id: str
    highest_fencing: int

    code = "order-outdated"


OrderFailure = AttemptFailed | OrderOutdated


class OrderClient:
    """Client for orders; its connections are separate from those that serve callers.

    Parameters
    ----------
    timeout_ms : int
        Time limit of one call.
    """

    def __init__(self, timeout_ms: int) -> None:
        timeout_s = timeout_ms / 1000.0
        self._pool = bounded_pool_manager(
            ResponseLimit(timeout_ms, MAX_RESPONSE_BYTES),
            urllib3.Timeout(connect=CONNECT_SHARE * timeout_s, total=timeout_s),
            N_POOLED_CONNECTIONS,
        )

    def read(
        self, upstream_id: str, address: str
    ) -> Result[EngineOrderState, AttemptFailed]:
        """Return the order state of the engine."""
        response = self._call(upstream_id, "GET", address, None)
        return response.bind(lambda r: _decode(upstream_id, r.data, EngineOrderState))

    def send(
        self, upstream_id: str, address: str, order: EngineOrder
    ) -> Result[None, OrderFailure]:
        """Send an order; status 200 in time means that the engine accepted it."""
        response = self._call(upstream_id, "POST", address, order)
        if response.is_error():
            return response
        if response.ok.status == 409:
            refusal = _decode(upstream_id, response.ok.data, OrderRefusal)
            return refusal.bind(
                lambda r: Error(OrderOutdated(upstream_id, r.highest_fencing))
            )
        if response.ok.status != 200:
            reason = f"status {response.ok.status}"
            return Error(AttemptFailed(upstream_id, reason, "unknown"))
        return Ok(None)

    def _call(
        self, upstream_id: str, method: str, address: str, order: EngineOrder | None
    ) -> Result[urllib3.BaseHTTPResponse, AttemptFailed]:
        body = None if order is None else msgspec.json.encode(order)
        try:
            return Ok(self._pool.request(method, f"http://{address}/orders", body=body))
        except urllib3.exceptions.HTTPError as error:
            reason = type(error).__name__
            return Error(AttemptFailed(upstream_id, reason, "unknown"))


def _decode(
    upstream_id: str, raw: bytes, target: type
) -> Result[object, AttemptFailed]:
    return decode_json(raw, target).map_error(
        lambda error: AttemptFailed(upstream_id, error.reason, "unknown")
    )
