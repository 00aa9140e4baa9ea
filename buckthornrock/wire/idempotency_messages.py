"""Messages about calls with issued idempotency keys."""

from typing import Literal

from .message import Message


class IssuedCall(Message, frozen=True, tag="idempotency.call"):
    """Asks the issuer of a key to run a call, or for the outcome of an earlier run.

    The message is idempotent: sending it again never runs the call again.
    """

    key: str
    client_account: str
    member: str
    profile: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    remaining_ms: int


class IssuedOutcome(Message, frozen=True, tag="idempotency.outcome"):
    """The state of the call at the issuer of its key.

    ``code`` and ``reason`` describe a failure; the other fields describe a response,
    whose ``body`` is None if it was too large to be stored.
    """

    state: Literal["pending", "answered", "failed"]
    code: str = ""
    reason: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    n_body_bytes: int = 0
