"""Serves calls to plain services and issues idempotency keys."""

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
    check_method,
    check_target,
    request_headers,
    response_headers,
)

PATH_PREFIX = "/services/"
KEYS_PATH = "/v1/idempotency-keys"
DEFAULT_DEADLINE_MS = 60_000
_BODYLESS_STATUSES = frozenset({204, 205, 304})


def serve_service(
    context: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> None:
    """Serve one call to a plain service."""
    request = _parse(context, exchange, caller, request_id)
    if request.is_error():
        refuse(context, exchange, request.error, request_id, caller)
        return
    response = context.services.run(request.ok)
    if response.is_error():
        refuse(context, exchange, response.error, request_id, caller)
        return
    _respond(exchange, response.ok, request_id)


def serve_issued_key(
    context: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> None:
    """Respond with a new idempotency key that this instance issues."""
    if exchange.method != "POST":
        failure = MethodNotAllowed(exchange.method, ("POST",))
        refuse(context, exchange, failure, request_id, caller)
        return
    issued = context.services.issue_key(caller)
    body = {"key": issued.key, "ttl_ms": issued.ttl_ms}
    exchange.respond_json(201, body, {"X-Request-Id": request_id})


def _parse(
    context: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> Result[ServiceRequest, Failure]:
    service, path = split_target(exchange.target)
    if not service or not exchange.target.startswith(PATH_PREFIX):
        return Error(NoSuchPath(exchange.path))
    checks = (
        check_method(exchange.method),
        check_target(path),
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
            profile=exchange.headers.get("x-profile", context.default_profile),
            service=service,
            method=method,
            path=path,
            headers=headers,
            body=body,
            idempotency_key=key,
            deadline_at_ms=context.clock.now_ms() + deadline_ms,
        )
    )


def split_target(target: str) -> tuple[str, str]:
    """Return the service that a request's target names, and the target there."""
    path, mark, query = target.removeprefix(PATH_PREFIX).partition("?")
    service, _, rest = path.partition("/")
    return service, f"/{rest}{mark}{query}"


def _respond(exchange: Exchange, response: ServiceResponse, request_id: str) -> None:
    headers = response_headers(response.headers, request_id)
    length = [(n, v) for n, v in response.headers if n.lower() == "content-length"]
    if exchange.method == "HEAD" or response.status in _BODYLESS_STATUSES:
        exchange.start_stream(response.status, headers + length[:1])
        return
    if response.rest is None:
        exchange.respond(response.status, response.body, headers)
        return
    with closing(response.rest):
        exchange.start_stream(response.status, headers + length[:1])
        exchange.send_part(response.body)
        for part in response.rest:
            exchange.send_part(part)
