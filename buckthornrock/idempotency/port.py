"""The port through which dispatch runs calls with an idempotency key."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..errors import Failure
from ..upstreams.service_client import ServiceResponse

#: Makes the one attempt; a failure whose ``not_run`` is "true" may be followed by
#: another attempt, any other may not.
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
    """A key that its issuer vouches for until ``ttl_ms`` have passed."""

    key: str
    ttl_ms: int


class IdempotencyPort(NamedTuple):
    """Functions of keyed calls.

    Parameters
    ----------
    run : callable
        ``run(request, attempt) -> Result[ServiceResponse, Failure]``.
    issue : callable
        ``issue(client_account, member) -> IssuedKey``; writes nothing anywhere.
    """

    run: Callable[[KeyedRequest, Attempt], Result[ServiceResponse, Failure]]
    issue: Callable[[str, str], IssuedKey]
