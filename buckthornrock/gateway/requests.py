"""Client requests, admitted requests and refusals."""

from typing import NamedTuple

from ..catalog.configuration import ClientAccount, Route
from ..scheduling.choice import Demand
from .ports import Headers, RequestFields


class ClientRequest(NamedTuple):
    """A complete request as a client sent it; ``target`` is the path with its query.

    ``refusal`` was decided at its head; the body was discarded then.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    fields: RequestFields
    received_at_ms: float
    refusal: "Refusal | None" = None


class AdmittedRequest(NamedTuple):
    """A request that admission allowed.

    ``ends_at_ms`` is the earlier of the client's deadline and the route's timeout.
    """

    request: ClientRequest
    route: Route
    account: ClientAccount | None
    demand: Demand
    ends_at_ms: float

    @property
    def request_id(self) -> str:
        """The id that the client gave the request."""
        return self.request.fields.request_id


class QueueSnapshot(NamedTuple):
    """State of a service when it had no capacity for a request; it is logged.

    ``n_usable`` counts the service's usable upstreams, ``n_waiting`` its queued
    requests; ``wait_ms`` is the expected waiting time.
    """

    n_usable: int
    n_waiting: int
    wait_ms: float


class Refusal(NamedTuple):
    """An error response of the gateway itself, in place of an upstream's response.

    Statuses 408, 429 and 503 promise that the request has not run and will not run.
    """

    status: int
    code: str
    reason: str
    retry_after_ms: float | None = None
    queue_snapshot: QueueSnapshot | None = None
