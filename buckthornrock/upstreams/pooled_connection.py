"""A connection that reports if it was closed while idle, before the next response.

A server may close an idle connection just as the next request is sent on it.
"""

import http.client
from collections.abc import Iterator
from contextlib import contextmanager

from urllib3.response import HTTPResponse

from .strict_connection import StrictConnection

_CLOSED = (http.client.RemoteDisconnected, ConnectionResetError, BrokenPipeError)


class IdleClosedError(http.client.HTTPException):
    """A reused connection was closed before the response to its next request."""


class PooledConnection(StrictConnection):
    """A connection that counts its requests."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._n_requests = 0

    def request(self, *args: object, **kwargs: object) -> None:
        """Send a request.

        Raises
        ------
        IdleClosedError
            If a reused connection was closed.
        """
        self._n_requests += 1
        with self._raise_if_idle_closed():
            super().request(*args, **kwargs)

    def getresponse(self) -> HTTPResponse:
        """Return the response once its head has arrived.

        Raises
        ------
        IdleClosedError
            If a reused connection was closed before the head arrived.
        """
        with self._raise_if_idle_closed():
            return super().getresponse()

    def close(self) -> None:
        """Close the connection; the next request opens it again."""
        super().close()
        self._n_requests = 0

    @contextmanager
    def _raise_if_idle_closed(self) -> Iterator[None]:
        # Read before the call: the library closes the connection, which resets the
        # count, before the error arrives here.
        is_reused = self._n_requests > 1
        try:
            yield
        except _CLOSED as error:
            if is_reused:
                raise IdleClosedError(type(error).__name__) from error
            raise
