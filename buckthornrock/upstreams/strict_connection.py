"""A connection that detects truncated response heads.

The standard library treats the end of the stream as the end of the head, so a server
that crashes while sending the head seems to respond with an empty body.
"""

import http.client
from typing import BinaryIO

from ..runtime.bounded_http import BoundedHeadConnection


class HeadTruncatedError(http.client.HTTPException):
    """The response ended within its head."""


class _HeadReader:
    """Reads the lines of a head; each must end with a line break."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._has_begun = False

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line."""
        line = self._file.readline(limit)
        if not line and not self._has_begun:
            # The library has its own error for a connection that closed silently.
            return line
        self._has_begun = True
        if not line.endswith(b"\n"):
            raise HeadTruncatedError
        return line


class _StrictResponse(http.client.HTTPResponse):
    """A response whose head must end with an empty line."""

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        HeadTruncatedError
            If the stream ends before the head does.
        """
        file = self.fp
        self.fp = _HeadReader(file)
        try:
            super().begin()
        finally:
            self.fp = file


class StrictConnection(BoundedHeadConnection):
    """A connection that rejects responses with a truncated head."""

    response_class = _StrictResponse
