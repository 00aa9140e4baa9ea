"""Requests as the gateway handles them."""

from typing import NamedTuple

from ..catalog.configuration import ClientAccount, Route
from ..scheduling.choice import Demand
from .ports import Headers, RequestFields


class ClientRequest(NamedTuple):
    """A whole request as a client sent it; ``target`` is the path with its query."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    fields: RequestFields
    received_at_ms: float


class AdmittedRequest(NamedTuple):
    """A request that the configuration allows.

    ``ends_at_ms`` is the earlier of the client's deadline and the route's time-out.
    """

    request: ClientRequest
    route: Route
    account: ClientAccount | None
    demand: Demand
    ends_at_ms: float

    @property
    def request_id(self) -> str:
        """The client's id for this request."""
        return self.request.fields.request_id


class Outlook(NamedTuple):
    """What the refusal of a request that found no place rested on."""

    n_usable: int
    n_waiting: int
    wait_ms: float


class Refusal(NamedTuple):
    """An answer of the gateway's own in place of an upstream's.

    Statuses 408, 429 and 503 state that the request has not run and will not run.
    """

    status: int
    code: str
    reason: str
    retry_after_ms: float | None = None
    outlook: Outlook | None = None
