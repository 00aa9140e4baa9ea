"""Encodes the heads of responses to clients, and the gateway's own error responses."""

import h11
import msgspec

from .ports import Headers
from .requests import Refusal

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def encode_head(
    connection: h11.Connection, status: int, headers: Headers, is_last: bool
) -> bytes:
    """Return the head of a response; after the last one the connection is closed."""
    if is_last:
        headers = [*headers, (b"connection", b"close")]
    reason = REASONS.get(status, b"")
    return connection.send(
        h11.Response(status_code=status, headers=headers, reason=reason)
    )


def encode_rejection(connection: h11.Connection, status: int) -> bytes:
    """Return the response to an invalid request, whose connection is closed."""
    status = status if status in REASONS else 400
    headers = [
        (b"content-length", b"0"),
        (b"connection", b"close"),
    ]
    return connection.send(
        h11.Response(status_code=status, headers=headers, reason=REASONS[status])
    )


def refusal_headers(refusal: Refusal, id_header: bytes, request_id: bytes) -> Headers:
    """Return the headers of a refusal; ``request_id`` is b"" if it isn't known."""
    headers = [(b"content-type", b"application/problem+json")]
    if request_id:
        headers.append((id_header, request_id))
    if refusal.retry_after_ms is not None:
        seconds = f"{refusal.retry_after_ms / 1000.0:.2f}"
        headers.append((b"retry-after", seconds.encode()))
    return headers


def refusal_body(refusal: Refusal) -> bytes:
    """Return the body of a refusal, of content type application/problem+json."""
    problem = {
        "status": refusal.status,
        "code": refusal.code,
        "detail": refusal.reason,
    }
    return msgspec.json.encode(problem)
