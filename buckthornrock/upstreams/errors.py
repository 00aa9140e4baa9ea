"""Failures of calls to upstreams."""

from typing import NamedTuple

from ..errors import NotRun


class AttemptFailed(NamedTuple):
    """An attempt at an upstream failed.

    ``not_run`` is ``"true"`` only if no byte of the request can have reached the
    upstream.
    """

    upstream_id: str
    reason: str
    not_run: NotRun

    code = "attempt-failed"


class StreamBroken(NamedTuple):
    """A stream ended early or failed its offset or identity checks.

    ``is_connection_lost`` means that only the connection ended: the engine may still
    hold the stream.
    """

    upstream_id: str
    reason: str
    is_connection_lost: bool = False

    code = "stream-broken"


class UpstreamRefused(NamedTuple):
    """The upstream answered with an error status before any token."""

    upstream_id: str
    status: int

    code = "upstream-refused"


StreamFailure = AttemptFailed | StreamBroken | UpstreamRefused
