"""Calls to plain services."""

from typing import NamedTuple

import urllib3
from expression import Error, Ok, Result

from ..conf.settings import UpstreamsSettings
from .errors import AttemptFailed


class ServiceCall(NamedTuple):
    """A call as it is sent to one server of a plain service."""

    upstream_id: str
    address: str
    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class ServiceAnswer(NamedTuple):
    """A server's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceClient:
    """Connection pools to plain services."""

    def __init__(self, settings: UpstreamsSettings) -> None:
        timeout = urllib3.Timeout(
            connect=settings.connect_timeout_ms / 1000.0,
            read=settings.read_timeout_ms / 1000.0,
        )
        self._pool = urllib3.PoolManager(retries=False, timeout=timeout)

    def call(self, call: ServiceCall) -> Result[ServiceAnswer, AttemptFailed]:
        """Send one call, once."""
        headers = {**call.headers, "X-Request-Id": call.request_id}
        url = f"http://{call.address}{call.path}"
        try:
            response = self._pool.request(
                call.method, url, body=call.body, headers=headers, redirect=False
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
        answer_headers = dict(response.headers)
        return Ok(ServiceAnswer(response.status, answer_headers, response.data))
