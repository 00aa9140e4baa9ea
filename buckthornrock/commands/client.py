"""Sends an operator's request to the first instance that can be reached."""

from typing import Any, NamedTuple

import msgspec
import urllib3
from expression import Error, Ok, Result

TIMEOUT_S = 15.0

_NOT_CONNECTED = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Refused(NamedTuple):
    """The system refused the request, or gave no answer.

    ``document`` is the problem document, or a like one without a status.
    """

    document: dict[str, Any]

    code = "refused"


class OperatorClient:
    """Talks to the operator ports of a fleet.

    Parameters
    ----------
    addresses : tuple of str
        IP:PORT of operator ports. The next one is tried only where the one before
        refused the connection, so that no request is ever sent twice.
    key : str
        The operator's key.
    """

    def __init__(self, addresses: tuple[str, ...], key: str) -> None:
        self._addresses = addresses
        self._headers = {"Authorization": f"Bearer {key}"}
        timeout = urllib3.Timeout(connect=2.0, read=TIMEOUT_S)
        self._http = urllib3.PoolManager(retries=False, timeout=timeout)

    def request(
        self, method: str, path: str, body: object = None
    ) -> Result[dict[str, Any], Refused]:
        """Return the decoded answer of a successful request."""
        raw = None if body is None else msgspec.json.encode(body)
        reason = "no address was given"
        for address in self._addresses:
            url = f"http://{address}{path}"
            try:
                response = self._http.request(
                    method, url, body=raw, headers=self._headers
                )
            except _NOT_CONNECTED:
                reason = f"{address} can't be reached"
                continue
            except urllib3.exceptions.HTTPError as error:
                return Error(_unanswered(f"{address}: {type(error).__name__}"))
            return _read(response)
        return Error(_unanswered(reason, not_run=True))


def _read(response: urllib3.BaseHTTPResponse) -> Result[dict[str, Any], Refused]:
    try:
        document = msgspec.json.decode(response.data, type=dict[str, Any])
    except msgspec.MsgspecError:
        return Error(_unanswered(f"status {response.status}, not JSON"))
    return Ok(document) if response.status == 200 else Error(Refused(document))


def _unanswered(reason: str, not_run: bool | str = "unknown") -> Refused:
    return Refused(
        {
            "code": "no-answer",
            "title": "No answer",
            "not_run": not_run,
            "details": {"reason": reason},
        }
    )
