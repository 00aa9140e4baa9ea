"""Routes a keyed call by the kind of its key: issued, or chosen by the caller."""

import hashlib

from expression import Result

from ..errors import Failure
from ..upstreams.service_client import ServiceResponse
from .claims import ClaimedCalls
from .issued_calls import IssuedCalls
from .issued_keys import is_issued
from .port import Attempt, IdempotencyPort, KeyedRequest


def open_idempotency(claimed: ClaimedCalls, issued: IssuedCalls) -> IdempotencyPort:
    """Return the port for calls with callers' keys and with issued keys."""

    def run(
        request: KeyedRequest, attempt: Attempt
    ) -> Result[ServiceResponse, Failure]:
        calls = issued if is_issued(request.key) else claimed
        return calls.run(request, attempt)

    return IdempotencyPort(run=run, issue=issued.issue)


def derive_secret(isolation_secret: str) -> bytes:
    """Return the secret for the MAC of issued keys and the digests of stored keys."""
    raw = isolation_secret.encode()
    return hashlib.blake2b(raw, person=b"idempotency-keys").digest()
