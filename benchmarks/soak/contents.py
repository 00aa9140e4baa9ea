"""What the stand-ins respond to a request; a function of the request alone."""

import hashlib

EVENT_END = b"\n\n"


def plain_body(request_id: str, body: bytes) -> bytes:
    """Return the body of a plain service's response."""
    digest = hashlib.sha256(request_id.encode() + b"\0" + body).hexdigest()
    n_lines = 1 + int(digest[:2], 16)
    return f"{request_id} {digest}\n".encode() * n_lines


def stream_events(request_id: str, body: bytes) -> list[bytes]:
    """Return the events of an engine's response; ids rise from 1."""
    digest = hashlib.sha256(request_id.encode() + b"\0" + body).hexdigest()
    return [
        f"id: {n}\ndata: {request_id} {digest[n : n + 16]}".encode() + EVENT_END
        for n in range(1, 4 + int(digest[0], 16) % 6)
    ]


def response_body(route: str, request_id: str, body: bytes) -> bytes:
    """Return the whole body that a client of a route must get."""
    if route in STREAM_ROUTES:
        return b"".join(stream_events(request_id, body))
    return plain_body(request_id, body)


STREAM_ROUTES = frozenset(("note", "long"))
