"""Malformed requests get a typed problem or a clean close.

The server keeps serving other callers.
"""

import socket

import msgspec
import pytest

from buckthornrock.commands.demo_steps import check_profile
from buckthornrock.commands.demo_world import start_world

KEY = b"Authorization: Bearer demo-caller-key\r\n"
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
GOOD_BODY = b'{"model": "small", "prompt": "hello", "max_tokens": 2}'
TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def world():
    world = start_world()
    # Until an instance knows an accepted profile, it serves any profile name by its
    # start profile, so an unknown profile would not be refused.
    assert check_profile(world) == ""
    yield world
    world.stop()


def send_raw(world, raw, half_close=False):
    """Send bytes and return the response, up to its end, a close or the timeout."""
    host, port = world.entry_url.removeprefix("http://").split(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as caller:
        caller.sendall(raw)
        if half_close:
            caller.shutdown(socket.SHUT_WR)
        response = b""
        while not _is_complete(response):
            part = caller.recv(65_536)
            if not part:
                break
            response += part
    return response


def _is_complete(response):
    head, found, body = response.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return bool(found) and len(body) >= int(line.split(b":")[1])
    return False


def request(body, *headers):
    length = b"Content-Length: %d\r\n" % len(body)
    return HEAD + KEY + b"".join(h + b"\r\n" for h in headers) + length + b"\r\n" + body


RAW_CASES = [
    ("not HTTP", b"\x16\x03\x01\x00\x05hello\r\n\r\n", (b"400",)),
    ("header without colon", HEAD + b"nonsense\r\n\r\n", (b"400",)),
    ("length not a number", HEAD + b"Content-Length: x\r\n\r\n", (b"400",)),
    ("negative length", HEAD + KEY + b"Content-Length: -5\r\n\r\n", (b"400",)),
    ("too large", HEAD + KEY + b"Content-Length: 9000000\r\n\r\n", (b"413",)),
    ("unknown coding", HEAD + b"Transfer-Encoding: x\r\n\r\n", (b"501", b"400")),
    ("bad chunk", HEAD + KEY + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", (b"400",)),
    ("bad deadline", request(GOOD_BODY, b"X-Deadline-Ms: -1"), (b"400",)),
    ("huge deadline", request(GOOD_BODY, b"X-Deadline-Ms: 9" + b"9" * 30), (b"400",)),
    ("no profile", request(GOOD_BODY, b"X-Profile: none"), (b"422",)),
    ("no work class", request(GOOD_BODY, b"X-Work-Class: none"), (b"422",)),
]


@pytest.mark.parametrize(
    ("raw", "statuses"), [c[1:] for c in RAW_CASES], ids=[c[0] for c in RAW_CASES]
)
def test_malformed_request_is_refused(world, raw, statuses):
    response = send_raw(world, raw)
    assert response[9:12] in statuses, response[:200]
    assert send_raw(world, request(GOOD_BODY))[9:12] == b"200"


BODIES = [
    b"",
    b"\xff\xfe",
    b"[" * 50_000,
    b'{"model": 1, "prompt": "x"}',
    b'{"model": "small", "prompt": ["x"]}',
    b'{"model": "small", "prompt": "x", "max_tokens": 0}',
    b'{"model": "small", "prompt": "x", "max_tokens": 1e99}',
    b'{"model": "small", "prompt": "x", "max_tokens": 99999999999999999999}',
    b'{"model": "small", "prompt": "x", "n": 2}',
    b'{"model": "small", "prompt": "x", "prefix_levels": [5, 3]}',
    b'{"model": "small", "prompt": "x", "prefix_levels": [-1]}',
    b'{"model": "small", "prompt": "x", "stream": "yes"}',
    b'{"model": "small", "prompt": "\\ud800"}',
]


@pytest.mark.parametrize("body", BODIES, ids=[repr(b[:40]) for b in BODIES])
def test_invalid_body_gets_typed_problem(world, body):
    response = send_raw(world, request(body))
    assert response[9:12] == b"400", response[:300]
    document = msgspec.json.decode(response.partition(b"\r\n\r\n")[2])
    assert (document["code"], document["not_run"]) == ("bad-request", True)


def test_truncated_body_is_refused_or_closed(world):
    raw = HEAD + KEY + b"Content-Length: 500\r\n\r\n" + GOOD_BODY
    response = send_raw(world, raw, half_close=True)
    assert response == b"" or response[9:12] in (b"400", b"408")
    assert send_raw(world, request(GOOD_BODY))[9:12] == b"200"


ROUTER_FIELDS = [
    "cache_salt",
    "priority",
    "output_offset",
    "generated",
    "resume_stream",
]


@pytest.mark.parametrize("field", ROUTER_FIELDS)
def test_caller_cannot_override_router_fields(world, field):
    body = msgspec.json.decode(GOOD_BODY) | {"prompt": "override " + field}
    plain = send_raw(world, request(msgspec.json.encode(body)))
    value = {"priority": 5, "output_offset": 1}.get(field, "00" * 16)
    overridden = send_raw(world, request(msgspec.json.encode(body | {field: value})))
    texts = [
        msgspec.json.decode(response.partition(b"\r\n\r\n")[2])["choices"][0]["text"]
        for response in (plain, overridden)
    ]
    assert texts[0] == texts[1]


OPERATOR = b"Authorization: Bearer demo-operator-key\r\n"
#: Port, request line and fields, status of the refusal.
REFUSED_HEADS = [
    ("entry", b"POST /nowhere HTTP/1.1\r\n" + KEY, b"404"),
    ("entry", b"POST /readyz HTTP/1.1\r\n" + KEY, b"404"),
    ("entry", b"PUT /v1/completions HTTP/1.1\r\n" + KEY, b"405"),
    ("entry", b"POST /v1/completions HTTP/1.1\r\n", b"401"),
    ("entry", b"POST /services/orders/1 HTTP/1.1\r\n", b"401"),
    ("operator", b"GET /healthz HTTP/1.1\r\n", b"200"),
    ("operator", b"GET /readyz HTTP/1.1\r\n" + OPERATOR, b"200"),
    ("operator", b"PUT /v1/profiles/default HTTP/1.1\r\n", b"401"),
    ("operator", b"PUT /nowhere HTTP/1.1\r\n" + OPERATOR, b"404"),
]


@pytest.mark.parametrize(("port", "head", "status"), REFUSED_HEADS)
def test_head_that_decides_the_response_does_not_wait_for_a_body(
    world, port, head, status
):
    """Such a body, never sent, held a thread until its read timed out."""
    url = world.entry_url if port == "entry" else world.operator_url
    host, number = url.removeprefix("http://").split(":")
    # Shorter than the read timeout, after which the response came before.
    with socket.create_connection((host, int(number)), timeout=8.0) as caller:
        caller.sendall(head + b"Host: x\r\nContent-Length: 500000\r\n\r\n")
        assert caller.recv(65_536)[9:12] == status
