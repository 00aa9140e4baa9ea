"""Which parts of a call to a plain service are passed on, and which are refused."""

import re
from collections.abc import Iterable
from urllib.parse import unquote_to_bytes

from expression import Error, Ok, Result

from .errors import BadRequest

#: Headers that belong to one connection (RFC 9110, section 7.6.1).
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
#: Request headers that are meant for the router itself.
OWN_HEADERS = frozenset(
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
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_PATH = re.compile(r"[\x21-\x7e]*")
_FOLD = re.compile(r"[\r\n]+[ \t]*")


def check_method(method: str) -> Result[str, BadRequest]:
    """Return ``method`` if it is a plain one."""
    if not _METHOD.fullmatch(method) or method in _UNSUPPORTED_METHODS:
        return Error(BadRequest("method", "this method is not passed on"))
    return Ok(method)


def check_target(target: str) -> Result[str, BadRequest]:
    """Return the path and query if they name nothing outside the service."""
    if not _PATH.fullmatch(target) or "#" in target:
        return Error(BadRequest("path", "write percent-encoded ASCII"))
    decoded = unquote_to_bytes(target.partition("?")[0])
    if re.search(rb"[\x00-\x1f\x7f\\]", decoded):
        return Error(BadRequest("path", "control characters and \\ are refused"))
    if {b".", b".."} & set(decoded.split(b"/")):
        return Error(BadRequest("path", "dot segments are refused"))
    return Ok(target)


def request_headers(headers: dict[str, str]) -> Result[dict[str, str], BadRequest]:
    """Return the headers that a server gets; names are lower case."""
    dropped = HOP_BY_HOP | OWN_HEADERS | _named_in_connection(headers.items())
    kept = {name: value for name, value in headers.items() if name not in dropped}
    for name, value in kept.items():
        if not _NAME.fullmatch(name) or _CONTROL.search(value):
            return Error(BadRequest("headers", "a malformed header"))
    return Ok(kept)


def answer_headers(
    headers: Iterable[tuple[str, str]], request_id: str
) -> list[tuple[str, str]]:
    """Return the headers that a caller gets; repeated ones stay repeated."""
    pairs = list(headers)
    dropped = HOP_BY_HOP | {"x-request-id"} | _named_in_connection(pairs)
    kept = [
        (name, _FOLD.sub(" ", value))
        for name, value in pairs
        if name.lower() not in dropped
    ]
    return [*kept, ("X-Request-Id", request_id)]


def _named_in_connection(headers: Iterable[tuple[str, str]]) -> set[str]:
    values = [value for name, value in headers if name.lower() == "connection"]
    return {token.strip().lower() for value in values for token in value.split(",")}
