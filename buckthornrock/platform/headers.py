"""Decodes and encodes the platform's headers."""

import math

from ..catalog.upstream_notices import Notice
from ..gateway.ports import (
    HeaderCodec,
    Headers,
    ReportedLoad,
    RequestFields,
    ResponseFields,
    UpstreamRequestFields,
)
from ..runtime.decoding import parse_count
from ..scheduling.loads import USUAL_PACE_PERCENT

_PREFIX = b"x-buckthornrock-"
REQUEST_ID = _PREFIX + b"request-id"
DEADLINE = _PREFIX + b"deadline-ms"
#: Two counts: tokens of the prompt and the maximum number of tokens of the response.
TOKEN_COUNTS = _PREFIX + b"token-count"
#: The parts of the prompt as ID:TOKENS entries, despite the name not a hash.
PROMPT_PARTS = _PREFIX + b"prefix-hash"
MODEL = _PREFIX + b"model"
ACCOUNT = _PREFIX + b"tenant"
EXPECT_INSTANCE = _PREFIX + b"expect-instance"
EXPECT_VERSION = _PREFIX + b"expect-version"
PRIORITY_CLASS = _PREFIX + b"priority-class"
CACHE_SALT = _PREFIX + b"cache-salt"
KV_SOURCE = _PREFIX + b"kv-source"
KV_TARGET = _PREFIX + b"kv-target"
STAMP = _PREFIX + b"server-stamp"
NOT_EXECUTED = _PREFIX + b"not-executed"
LOAD = _PREFIX + b"instance-load"
WEIGHTS_VERSION = _PREFIX + b"weight-versions"
LAST_EVENT_ID = b"last-event-id"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"

#: Figures that the load header has at least. Some services add a fourth one, the time
#: that work takes on the server's machine in percent of the usual.
N_LOAD_FIGURES = 3

_MISDIRECTED = 421
_UNAVAILABLE = 503

_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
#: Headers that only the router may set; those of a client are dropped.
_RESERVED_HEADERS = frozenset(
    (
        DEADLINE,
        ACCOUNT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY_CLASS,
        CACHE_SALT,
        KV_SOURCE,
        KV_TARGET,
        _PREFIX + b"hold",
        _PREFIX + b"pin-ms",
        _PREFIX + b"kv-backup",
        b"kv-from",
    )
)
_DROPPED_FROM_REQUEST = (
    _CONNECTION_HEADERS
    | _RESERVED_HEADERS
    | {b"authorization", b"content-length", b"expect", LAST_EVENT_ID}
)
#: A client talks to the router, which does not leave with the upstream.
_DROPPED_FROM_RESPONSE = _CONNECTION_HEADERS | {b"content-length", LEAVING}
#: A refusal's quiet time is the upstream's; other upstreams take a client's retry.
_DROPPED_FROM_REFUSAL = _DROPPED_FROM_RESPONSE | {RETRY_AFTER}


def open_header_codec() -> HeaderCodec:
    """Return the functions that decode and encode the platform's headers."""
    return HeaderCodec(
        decode_request=decode_request,
        encode_request=encode_request,
        decode_response=decode_response,
        encode_response=encode_response,
        request_id_header=REQUEST_ID,
    )


def decode_request(headers: Headers) -> RequestFields:
    """Decode the headers of a client's request."""
    found = _by_name(headers)
    return RequestFields(
        request_id=_text(found, REQUEST_ID),
        host=_text(found, b"host"),
        authorization=_text(found, b"authorization"),
        deadline_ms=_number(_text(found, DEADLINE)),
        model=_text(found, MODEL),
        token_counts=_text(found, TOKEN_COUNTS),
        prompt_parts=_text(found, PROMPT_PARTS),
        last_event_id=_text(found, LAST_EVENT_ID),
    )


def encode_request(
    headers: Headers, plan: UpstreamRequestFields, n_body_bytes: int
) -> Headers:
    """Return the headers of a request that is forwarded to an upstream."""
    dropped = _DROPPED_FROM_REQUEST | _named_by_connection(headers)
    sent = [(name, value) for name, value in headers if name.lower() not in dropped]
    sent.append((EXPECT_INSTANCE, plan.upstream.upstream_id.encode()))
    sent.append((DEADLINE, str(max(1, int(plan.remaining_ms))).encode()))
    if n_body_bytes or any(name.lower() == b"content-length" for name, _ in headers):
        sent.append((b"content-length", str(n_body_bytes).encode()))
    optional = (
        (ACCOUNT, plan.client_account),
        (EXPECT_VERSION, plan.weights_version),
        (PRIORITY_CLASS, plan.priority_class),
        (CACHE_SALT, plan.cache_salt),
        (KV_SOURCE, plan.kv_source),
        (KV_TARGET, plan.kv_target),
        (LAST_EVENT_ID, plan.last_event_id),
    )
    sent += [
        (name, str(value).encode())
        for name, value in optional
        if value is not None and value != ""
    ]
    return sent


def decode_response(status: int, headers: Headers) -> ResponseFields:
    """Decode the headers of an upstream's response."""
    found = _by_name(headers)
    return ResponseFields(
        request_id=_text(found, REQUEST_ID),
        has_server_stamp=STAMP in found,
        # A misdirected request has not run, although the response lacks the header
        # that says so.
        is_not_executed=(NOT_EXECUTED in found and status >= 400)
        or status == _MISDIRECTED,
        has_content_encoding=_text(found, b"content-encoding") not in ("", "identity"),
        is_event_stream=_media_type(found) in ("", "text/event-stream"),
        load=_load(_text(found, LOAD)),
        weights_version=parse_count(_text(found, WEIGHTS_VERSION)),
        notice=_notice(status, found),
    )


def decode_notice(status: int, headers: Headers) -> Notice:
    """Decode what an upstream says of itself in any of its responses."""
    return _notice(status, _by_name(headers))


def _notice(status: int, found: dict[bytes, bytes]) -> Notice:
    if status == _MISDIRECTED:
        # Another upstream answered; its notices say nothing of the one that was meant.
        return Notice()
    is_leaving = LEAVING in found and _text(found, LEAVING) != "0"
    if status != _UNAVAILABLE or RETRY_AFTER not in found:
        return Notice(is_leaving)
    quiet_s = _seconds(_text(found, RETRY_AFTER))
    if quiet_s is None:
        return Notice(is_leaving, asks_for_quiet=True)
    return Notice(is_leaving, quiet_s > 0.0, quiet_s * 1000.0)


def encode_response(status: int, headers: Headers) -> Headers:
    """Return the headers of an upstream's response that are forwarded to the client."""
    is_refusal = status == _UNAVAILABLE
    dropped = _DROPPED_FROM_REFUSAL if is_refusal else _DROPPED_FROM_RESPONSE
    dropped |= _named_by_connection(headers)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _by_name(headers: Headers) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in headers}


def _text(found: dict[bytes, bytes], name: bytes) -> str:
    return found.get(name, b"").decode("latin-1").strip()


def _media_type(found: dict[bytes, bytes]) -> str:
    return _text(found, b"content-type").partition(";")[0].strip().lower()


def _number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _seconds(text: str) -> float | None:
    """Return a time in seconds, which may be infinite.

    None for a date, a negative number or any other value.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    # Values that aren't numbers compare as False.
    return seconds if seconds >= 0.0 else None


def _load(text: str) -> ReportedLoad | None:
    """Return the load, at the usual pace if that is missing, zero or no count.

    Further figures are ignored.
    """
    fields = text.split(",")
    figures = [parse_count(field) for field in fields[:N_LOAD_FIGURES]]
    if len(figures) != N_LOAD_FIGURES or None in figures:
        return None
    pace_percent = parse_count(",".join(fields[N_LOAD_FIGURES : N_LOAD_FIGURES + 1]))
    return ReportedLoad(*figures, pace_percent or USUAL_PACE_PERCENT)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return the headers that the sender declares to be connection-specific.

    The platform's own headers and ``host`` can't be declared so.
    """
    names = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    return frozenset(
        name
        for name in names
        if name and not name.startswith(_PREFIX) and name != b"host"
    )
