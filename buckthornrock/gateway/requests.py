"""Client requests, admitted requests and refusals."""

from typing import NamedTuple

from ..catalog.configuration import ClientAccount, Route
from ..scheduling.crash_suspects import QuarantinedPart
from ..scheduling.placement import Demand
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


class Charge(NamedTuple):
    """What a request was charged to its client account, in the unit of its limit."""

    account_number: int
    cost: int
    counts_tokens: bool


class AdmittedRequest(NamedTuple):
    """A request that admission allowed.

    ``ends_at_ms`` is the earlier of the client's deadline and the route's timeout.
    ``charge`` is None for an account without a limit.
    """

    request: ClientRequest
    route: Route
    account: ClientAccount | None
    demand: Demand
    ends_at_ms: float
    charge: Charge | None = None

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


def quarantine_refusal(found: QuarantinedPart) -> Refusal:
    """Return the refusal of a request with a part that crashes engines."""
    reason = f"engines crash on part {found.part} of the prompt"
    return Refusal(503, "quarantined-part", reason, found.retry_after_ms)
