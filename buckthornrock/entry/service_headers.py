"""Checks methods, targets and headers of calls to plain services.

The functions decide what is forwarded, what is dropped and what is refused.
"""

import re
from collections.abc import Iterable
from urllib.parse import unquote_to_bytes

from expression import Error, Ok, Result

from .errors import BadRequest

#: Headers of a single connection, never forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
#: Request headers that address the router itself and are not forwarded.
ROUTER_HEADERS = frozenset(
    {
        "authorization",
        "host",
        "idempotency-key",
        "x-deadline-ms",
        "x-profile",
        "x-request-id",
        "x-work-class",
    }
)
_METHOD = re.compile(r"[A-Z][A-Z-]{0,31}")
_UNSUPPORTED_METHODS = frozenset({"CONNECT", "TRACE"})
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_PATH_CHARS = re.compile(r"[\x21-\x7e]*")
_LINE_FOLD = re.compile(r"[\r\n]+[ \t]*")


def check_method(method: str) -> Result[str, BadRequest]:
    """Return ``method`` if it can be forwarded."""
    if not _METHOD.fullmatch(method) or method in _UNSUPPORTED_METHODS:
        return Error(BadRequest("method", "this method is not forwarded"))
    return Ok(method)


def check_target(target: str) -> Result[str, BadRequest]:
    """Return the path and query if they stay inside the service's URL space."""
    if not _PATH_CHARS.fullmatch(target) or "#" in target:
        return Error(BadRequest("path", "must be percent-encoded ASCII"))
    decoded = unquote_to_bytes(target.partition("?")[0])
    if re.search(rb"[\x00-\x1f\x7f\\]", decoded):
        return Error(BadRequest("path", "control characters and \\ are refused"))
    if {b".", b".."} & set(decoded.split(b"/")):
        return Error(BadRequest("path", "dot segments are refused"))
    return Ok(target)


def request_headers(headers: dict[str, str]) -> Result[dict[str, str], BadRequest]:
    """Return the headers to forward to a server; names are in lower case."""
    dropped = HOP_BY_HOP | ROUTER_HEADERS | _named_in_connection(headers.items())
    forwarded = {name: value for name, value in headers.items() if name not in dropped}
    for name, value in forwarded.items():
        if not _HEADER_NAME.fullmatch(name) or _CONTROL_CHARS.search(value):
            return Error(BadRequest("headers", "malformed header name or value"))
    return Ok(forwarded)


def response_headers(
    headers: Iterable[tuple[str, str]], request_id: str
) -> list[tuple[str, str]]:
    """Return the headers to send to the caller; repeated headers stay repeated."""
    pairs = list(headers)
    dropped = HOP_BY_HOP | {"x-request-id"} | _named_in_connection(pairs)
    forwarded = [
        (name, _LINE_FOLD.sub(" ", value))
        for name, value in pairs
        if name.lower() not in dropped
    ]
    return [*forwarded, ("X-Request-Id", request_id)]


def _named_in_connection(headers: Iterable[tuple[str, str]]) -> set[str]:
    values = [value for name, value in headers if name.lower() == "connection"]
    return {token.strip().lower() for value in values for token in value.split(",")}
