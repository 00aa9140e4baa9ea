"""Sends one arrival and checks its answer."""

import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec
import urllib3

from .arrivals import Arrival

DONE = b"[DONE]"
POLL_PERIOD_S = 0.5
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 60.0

#: ``expected(prompt, n_tokens)`` returns the undisturbed answer.
Expected = Callable[[str, int], str]


class Outcome(NamedTuple):
    """What became of one arrival.

    Parameters
    ----------
    kind : str
        "whole", "wrong" (whole but another text), "incomplete", "refused", "broken"
        (no usable answer), "unfinished" (not done when the run ended) or "skipped"
        (never sent, because too many were in flight).
    code : str
        Problem code of a refusal, or the type of an exception.
    ttft_ms, total_ms : float
        From the time at which the request was due, so that waiting in the load tool
        or for a connection is not hidden.
    """

    arrival: Arrival
    kind: str
    code: str = ""
    ttft_ms: float = 0.0
    total_ms: float = 0.0
    request_id: str = ""


class _Event(msgspec.Struct):
    choices: list[dict]


_decode_event = msgspec.json.Decoder(_Event).decode


def open_pool(n_connections: int) -> urllib3.PoolManager:
    """Return connections that are kept and never waited for."""
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
    return urllib3.PoolManager(
        maxsize=n_connections, block=False, retries=False, timeout=timeout
    )


def send(
    pool: urllib3.PoolManager,
    arrival: Arrival,
    key: str,
    due_at_s: float,
    give_up_at_s: float,
    expected: Expected,
) -> Outcome:
    """Send ``arrival`` and read its answer to the end.

    Parameters
    ----------
    due_at_s, give_up_at_s : float
        On the clock of ``time.monotonic``.
    """
    try:
        if arrival.is_deferred:
            return _send_deferred(pool, arrival, key, due_at_s, give_up_at_s, expected)
        return _send_stream(pool, arrival, key, due_at_s, expected)
    except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
        return Outcome(arrival, "broken", type(error).__name__)


def _send_stream(
    pool: urllib3.PoolManager,
    arrival: Arrival,
    key: str,
    due_at_s: float,
    expected: Expected,
) -> Outcome:
    response = _post(pool, arrival, key, {})
    if response.status != 200:
        return _refusal(arrival, response)
    request_id = response.headers.get("X-Request-Id", "")
    texts: list[str] = []
    ttft_ms = 0.0
    is_ended = False
    try:
        for event in _events(response):
            if event == DONE:
                is_ended = True
                break
            ttft_ms = ttft_ms or _since_ms(due_at_s)
            texts.append(_decode_event(event).choices[0]["text"])
        if is_ended:
            response.drain_conn()
    except urllib3.exceptions.HTTPError:
        is_ended = False
    response.release_conn() if is_ended else response.close()
    kind = _verdict(arrival, "".join(texts), is_ended, expected)
    total_ms = _since_ms(due_at_s)
    return Outcome(arrival, kind, "", ttft_ms, total_ms, request_id)


def _send_deferred(
    pool: urllib3.PoolManager,
    arrival: Arrival,
    key: str,
    due_at_s: float,
    give_up_at_s: float,
    expected: Expected,
) -> Outcome:
    response = _post(pool, arrival, key, {"Prefer": "respond-async"})
    if response.status != 202:
        return _refusal(arrival, response)
    response.drain_conn()
    response.release_conn()
    url = arrival.target + response.headers["Location"]
    while time.monotonic() < give_up_at_s:
        time.sleep(POLL_PERIOD_S)
        view = pool.request("GET", url, headers=_authorization(key))
        state = view.json().get("state") if view.status == 200 else ""
        if state == "done":
            text = view.json()["answer"]["choices"][0]["text"]
            kind = _verdict(arrival, text, True, expected)
            total_ms = _since_ms(due_at_s)
            return Outcome(arrival, kind, "", total_ms, total_ms)
        if state == "failed":
            return Outcome(arrival, "broken", "deferred-failed")
    return Outcome(arrival, "unfinished")


def _post(
    pool: urllib3.PoolManager, arrival: Arrival, key: str, headers: dict[str, str]
) -> urllib3.BaseHTTPResponse:
    body = {
        "model": arrival.model,
        "prompt": arrival.prompt.text,
        "prefix_levels": arrival.prompt.prefix_levels,
        "max_tokens": arrival.work_class.n_output_tokens,
        "stream": not arrival.is_deferred,
    }
    head = {"X-Work-Class": arrival.work_class.name, **_authorization(key), **headers}
    url = arrival.target + "/v1/completions"
    raw = msgspec.json.encode(body)
    return pool.request("POST", url, body=raw, headers=head, preload_content=False)


def _refusal(arrival: Arrival, response: urllib3.BaseHTTPResponse) -> Outcome:
    document = msgspec.json.decode(response.read())
    response.release_conn()
    code = document.get("code", str(response.status))
    return Outcome(arrival, "refused", code, request_id=document.get("request_id", ""))


def _verdict(arrival: Arrival, text: str, is_ended: bool, expected: Expected) -> str:
    if not is_ended:
        return "incomplete"
    wanted = expected(arrival.prompt.text, arrival.work_class.n_output_tokens)
    return "whole" if text == wanted else "wrong"


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    for part in response.stream(65_536):
        pending += part
        *events, pending = pending.split(b"\n\n")
        for event in events:
            yield _data(event)


def _data(event: bytes) -> bytes:
    lines = event.split(b"\n")
    return b"".join(x.removeprefix(b"data: ") for x in lines if x.startswith(b"data:"))


def _authorization(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


def _since_ms(at_s: float) -> float:
    return (time.monotonic() - at_s) * 1000.0
