"""Serves calls to plain services."""

from ..dispatch import Caller, ServiceRequest
from ..httpd import Exchange
from .context import EntryParts, refuse
from .errors import NoSuchPath
from .parsing import parse_deadline_ms

PATH_PREFIX = "/services/"
#: Headers that belong to one connection, or to the router itself.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-profile",
        "x-request-id",
        "x-work-class",
    }
)


def serve_service(
    parts: EntryParts, exchange: Exchange, caller: Caller, request_id: str
) -> None:
    """Answer one call to a plain service."""
    service, _, path = exchange.path.removeprefix(PATH_PREFIX).partition("/")
    if not service:
        refuse(parts, exchange, NoSuchPath(exchange.path), request_id, caller)
        return
    body = exchange.read_body()
    if body.is_error():
        refuse(parts, exchange, body.error, request_id, caller)
        return
    header = exchange.headers.get("x-deadline-ms", "")
    deadline_ms = parse_deadline_ms(header, 60_000)
    if deadline_ms.is_error():
        refuse(parts, exchange, deadline_ms.error, request_id, caller)
        return
    query = f"?{exchange.query}" if exchange.query else ""
    request = ServiceRequest(
        request_id=request_id,
        caller=caller,
        profile=exchange.headers.get("x-profile", parts.default_profile),
        service=service,
        method=exchange.method,
        path=f"/{path}{query}",
        headers=_passed_on(exchange.headers),
        body=body.ok,
        idempotency_key=exchange.headers.get("idempotency-key", ""),
        deadline_at_ms=parts.clock.now_ms() + deadline_ms.ok,
    )
    answer = parts.services.run(request)
    if answer.is_error():
        refuse(parts, exchange, answer.error, request_id, caller)
        return
    headers = _passed_on({k.lower(): v for k, v in answer.ok.headers.items()})
    exchange.respond(
        answer.ok.status, answer.ok.body, {**headers, "X-Request-Id": request_id}
    )


def _passed_on(headers: dict[str, str]) -> dict[str, str]:
    return {k: v for k, v in headers.items() if k not in DROPPED_HEADERS}
