"""The port through which dispatch runs calls with an idempotency key."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..errors import Failure
from ..upstreams.service_client import ServiceResponse

#: Makes one attempt of the call. Another attempt may follow only after a failure whose
#: ``not_run`` is "true".
Attempt = Callable[[], Result[ServiceResponse, Failure]]


class KeyedRequest(NamedTuple):
    """A call to a plain service with an idempotency key."""

    client_account: str
    member: str
    key: str
    profile: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    deadline_at_ms: float


class IssuedKey(NamedTuple):
    """An idempotency key made by an instance; it is valid for ``ttl_ms``."""

    key: str
    ttl_ms: int


class IdempotencyPort(NamedTuple):
    """Functions that issue idempotency keys and run calls with them.

    Parameters
    ----------
    run : callable
        ``run(request, attempt) -> Result[ServiceResponse, Failure]``.
    issue : callable
        ``issue(client_account, member) -> IssuedKey``; stores nothing.
    """

    run: Callable[[KeyedRequest, Attempt], Result[ServiceResponse, Failure]]
    issue: Callable[[str, str], IssuedKey]
