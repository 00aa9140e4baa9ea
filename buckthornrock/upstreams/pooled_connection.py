"""A connection that tells an answer that never began on a reused connection.

A server may close an idle connection just as the next request is sent on it.
"""

import http.client

from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

_CLOSED = (http.client.RemoteDisconnected, ConnectionResetError, BrokenPipeError)


class IdleClosedError(http.client.HTTPException):
    """A connection that had served a request was closed before the next answer."""


class PooledConnection(HTTPConnection):
    """A connection that counts its requests."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._n_requests = 0
        self._is_reused = False

    def request(self, *args: object, **kwargs: object) -> None:
        """Send a request.

        Raises
        ------
        IdleClosedError
            If the connection is closed and not new.
        """
        self._n_requests += 1
        self._is_reused = self._n_requests > 1
        try:
            super().request(*args, **kwargs)
        except _CLOSED as error:
            self._raise_if_reused(error)
            raise

    def getresponse(self) -> HTTPResponse:
        """Return the answer once its head has come.

        Raises
        ------
        IdleClosedError
            If the connection is closed before it, and is not new.
        """
        try:
            return super().getresponse()
        except _CLOSED as error:
            self._raise_if_reused(error)
            raise

    def close(self) -> None:
        """Close the connection; the next request opens it anew."""
        super().close()
        self._n_requests = 0

    def _raise_if_reused(self, error: Exception) -> None:
        if self._is_reused:
            raise IdleClosedError(type(error).__name__) from error
