"""The interface of a platform adapter: its headers and its configuration format."""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..catalog.configuration import Configuration
from ..catalog.upstream_notices import Notice
from ..catalog.upstreams import Upstream
from ..errors import Failure
from ..scheduling.loads import USUAL_PACE_PERCENT

Headers = list[tuple[bytes, bytes]]
#: Decodes the operators' configuration.
ConfigurationDecoder = Callable[[bytes], Result[Configuration, Failure]]


class RequestFields(NamedTuple):
    """Values of a client's request headers; "" or None for an absent header."""

    request_id: str
    host: str
    authorization: str
    deadline_ms: float | None
    model: str
    token_counts: str
    prompt_parts: str
    last_event_id: str


class ReportedLoad(NamedTuple):
    """Load of an upstream, as a response states it.

    ``pace_percent`` is how long work takes on its machine now; 100 is the usual time.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    pace_percent: int = USUAL_PACE_PERCENT


class ResponseFields(NamedTuple):
    """Values of an upstream's response headers.

    ``has_server_stamp`` tells a response of the upstream itself from others.
    ``is_not_executed`` says that the upstream did not and will not run the request.
    ``is_event_stream`` is False if the response states another content type.
    ``notice`` is what the upstream says of itself.
    """

    request_id: str
    has_server_stamp: bool
    is_not_executed: bool
    has_content_encoding: bool
    is_event_stream: bool
    load: ReportedLoad | None
    weights_version: int | None
    notice: Notice = Notice()


class UpstreamRequestFields(NamedTuple):
    """Values of the headers that the gateway adds to a request to an upstream."""

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
    """Functions that decode and encode the headers of a platform.

    Parameters
    ----------
    decode_request : callable
        ``decode_request(headers) -> RequestFields``.
    encode_request : callable
        ``encode_request(client_headers, plan, body_length) -> Headers``.
    decode_response : callable
        ``decode_response(status, headers) -> ResponseFields``.
    encode_response : callable
        ``encode_response(status, upstream_headers) -> Headers``, without the headers
        that hold only between the gateway and the upstream, and the content length.
    request_id_header : bytes
        Name of the header with the request id in responses of the gateway itself.
    """

    decode_request: Callable[[Headers], RequestFields]
    encode_request: Callable[[Headers, UpstreamRequestFields, int], Headers]
    decode_response: Callable[[int, Headers], ResponseFields]
    encode_response: Callable[[int, Headers], Headers]
    request_id_header: bytes
