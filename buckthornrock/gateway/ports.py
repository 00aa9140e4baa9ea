"""What the gateway needs decoded and encoded by the adapter of a platform."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..catalog.configuration import Configuration
from ..catalog.upstreams import Upstream
from ..errors import Failure

Headers = list[tuple[bytes, bytes]]
#: Decodes a configuration as the operators wrote it.
ConfigurationDecoder = Callable[[bytes], Result[Configuration, Failure]]


class RequestFields(NamedTuple):
    """What a client's headers say; "" or None where a field is absent."""

    request_id: str
    host: str
    authorization: str
    deadline_ms: float | None
    model: str
    token_counts: str
    prompt_parts: str
    last_event_id: str


class ResponseFields(NamedTuple):
    """What an upstream's headers say.

    ``is_not_executed`` states that the upstream did not and will not run the request.
    ``load`` holds running and waiting requests and slots.
    """

    request_id: str
    has_server_stamp: bool
    is_not_executed: bool
    has_content_encoding: bool
    load: tuple[int, int, int] | None
    weights_version: int | None


class UpstreamRequestFields(NamedTuple):
    """What the system itself says to an upstream with a request."""

    upstream: Upstream
    remaining_ms: float
    client_account: str
    weights_version: int | None
    priority_class: int | None
    cache_salt: str
    kv_source: str
    kv_target: str
    last_event_id: str


class HeaderCodec(NamedTuple):
    """Decodes and encodes headers.

    Parameters
    ----------
    decode_request : callable
        ``decode_request(headers) -> RequestFields``.
    encode_request : callable
        ``encode_request(client_headers, plan, body_length) -> Headers``.
    decode_answer : callable
        ``decode_response(status, headers) -> ResponseFields``.
    encode_answer : callable
        ``encode_response(upstream_headers) -> Headers`` without what concerns only the
        upstream's connection.
    request_id_header : bytes
        Header that answers of the gateway itself name the request with.
    """

    decode_request: Callable[[Headers], RequestFields]
    encode_request: Callable[[Headers, UpstreamRequestFields, int], Headers]
    decode_response: Callable[[int, Headers], ResponseFields]
    encode_response: Callable[[Headers], Headers]
    request_id_header: bytes
