"""Runs calls to plain services; at most one attempt may reach a server."""

import random
from collections.abc import Callable

from expression import Error, Result

from ..errors import Failure
from ..fleet import Fleet
from ..upstreams.service_client import ServiceAnswer, ServiceCall, ServiceClient
from .errors import CallOutcomeUnknown, NoServer
from .requests import ServiceRequest


class ServiceDispatcher:
    """Runs calls against the servers of plain services."""

    def __init__(self, fleet: Fleet, client: ServiceClient, rng: random.Random) -> None:
        self._fleet = fleet
        self._client = client
        self._rng = rng

    def run(self, request: ServiceRequest) -> Result[ServiceAnswer, Failure]:
        """Return the server's answer, or why there is none."""
        servers = list(self._fleet.services(request.service))
        self._rng.shuffle(servers)
        for server in servers:
            call = _service_call(request, server.upstream_id, server.address)
            answer = self._counted(
                server.upstream_id, lambda c=call: self._client.call(c)
            )
            if answer.is_ok():
                return answer
            if answer.error.not_run != "true":
                failure = answer.error
                return Error(CallOutcomeUnknown(failure.upstream_id, failure.reason))
        return Error(NoServer(request.service))

    def _counted(
        self, upstream_id: str, call: Callable[[], Result[ServiceAnswer, Failure]]
    ) -> Result[ServiceAnswer, Failure]:
        self._fleet.begin(upstream_id)
        try:
            return call()
        finally:
            self._fleet.end(upstream_id)


def _service_call(
    request: ServiceRequest, upstream_id: str, address: str
) -> ServiceCall:
    return ServiceCall(
        upstream_id=upstream_id,
        address=address,
        request_id=request.request_id,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
    )
