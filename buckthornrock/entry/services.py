"""Serves calls to plain services."""

from contextlib import closing

from expression import Error, Ok, Result

from ..dispatch import Caller, ServiceRequest
from ..errors import Failure
from ..httpd import Exchange
from ..upstreams.service_client import ServiceResponse
from .context import EntryContext, refuse
from .errors import MethodNotAllowed, NoSuchPath
from .parsing import parse_deadline_ms, parse_idempotency_key
from .service_headers import (
    answer_headers,
    check_method,
    check_target,
    request_headers,
)

PATH_PREFIX = "/services/"
KEYS_PATH = "/v1/idempotency-keys"
DEFAULT_DEADLINE_MS = 60_000
_BODYLESS_STATUSES = frozenset({204, 205, 304})


def serve_service(
    parts: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> None:
    """Answer one call to a plain service."""
    request = _parse(parts, exchange, caller, request_id)
    if request.is_error():
        refuse(parts, exchange, request.error, request_id, caller)
        return
    answer = parts.services.run(request.ok)
    if answer.is_error():
        refuse(parts, exchange, answer.error, request_id, caller)
        return
    _respond(exchange, answer.ok, request_id)


def serve_issued_key(
    parts: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> None:
    """Answer with a new idempotency key that this instance vouches for."""
    if exchange.method != "POST":
        failure = MethodNotAllowed(exchange.method, ("POST",))
        refuse(parts, exchange, failure, request_id, caller)
        return
    issued = parts.services.issue_key(caller)
    body = {"key": issued.key, "ttl_ms": issued.ttl_ms}
    exchange.respond_json(201, body, {"X-Request-Id": request_id})


def _parse(
    parts: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> Result[ServiceRequest, Failure]:
    service, _, rest = exchange.target.removeprefix(PATH_PREFIX).partition("/")
    if not service or not exchange.target.startswith(PATH_PREFIX):
        return Error(NoSuchPath(exchange.path))
    checks = (
        check_method(exchange.method),
        check_target(f"/{rest}"),
        request_headers(exchange.headers),
        parse_deadline_ms(
            exchange.headers.get("x-deadline-ms", ""), DEFAULT_DEADLINE_MS
        ),
        parse_idempotency_key(exchange.headers.get("idempotency-key")),
        exchange.read_body(),
    )
    for check in checks:
        if check.is_error():
            return Error(check.error)
    method, path, headers, deadline_ms, key, body = (check.ok for check in checks)
    return Ok(
        ServiceRequest(
            request_id=request_id,
            caller=caller,
            profile=exchange.headers.get("x-profile", parts.default_profile),
            service=service,
            method=method,
            path=path,
            headers=headers,
            body=body,
            idempotency_key=key,
            deadline_at_ms=parts.clock.now_ms() + deadline_ms,
        )
    )


def _respond(exchange: Exchange, answer: ServiceResponse, request_id: str) -> None:
    headers = answer_headers(answer.headers, request_id)
    length = [(n, v) for n, v in answer.headers if n.lower() == "content-length"]
    if exchange.method == "HEAD" or answer.status in _BODYLESS_STATUSES:
        exchange.start_stream(answer.status, headers + length[:1])
        return
    if answer.rest is None:
        exchange.respond(answer.status, answer.body, headers)
        return
    with closing(answer.rest):
        exchange.start_stream(answer.status, headers + length[:1])
        exchange.send_part(answer.body)
        for part in answer.rest:
            exchange.send_part(part)
