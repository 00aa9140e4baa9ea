"""Callers that misbehave get a typed answer or a clean close, and nobody else does."""

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
    # Until an instance knows a profile, it serves any name by its start profile.
    assert check_profile(world) == ""
    yield world
    world.stop()


def talk(world, raw, half_close=False):
    """Send bytes and return all that comes back until the close or the time-out."""
    host, port = world.entry_url.removeprefix("http://").split(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as caller:
        caller.sendall(raw)
        if half_close:
            caller.shutdown(socket.SHUT_WR)
        answer = b""
        while not _is_complete(answer):
            part = caller.recv(65_536)
            if not part:
                break
            answer += part
    return answer


def _is_complete(answer):
    head, found, body = answer.partition(b"\r\n\r\n")
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
def test_bad_bytes_get_an_answer(world, raw, statuses):
    answer = talk(world, raw)
    assert answer[9:12] in statuses, answer[:200]
    assert talk(world, request(GOOD_BODY))[9:12] == b"200"


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
def test_bad_body_gets_typed_problem(world, body):
    answer = talk(world, request(body))
    assert answer[9:12] == b"400", answer[:300]
    document = msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])
    assert (document["code"], document["not_run"]) == ("bad-request", True)


def test_body_that_ends_early_is_closed_cleanly(world):
    raw = HEAD + KEY + b"Content-Length: 500\r\n\r\n" + GOOD_BODY
    answer = talk(world, raw, half_close=True)
    assert answer == b"" or answer[9:12] in (b"400", b"408")
    assert talk(world, request(GOOD_BODY))[9:12] == b"200"


OVERRIDES = ["cache_salt", "priority", "output_offset", "generated", "resume_stream"]


@pytest.mark.parametrize("field", OVERRIDES)
def test_caller_cannot_set_what_the_router_owns(world, field):
    body = msgspec.json.decode(GOOD_BODY) | {"prompt": "override " + field}
    plain = talk(world, request(msgspec.json.encode(body)))
    value = {"priority": 5, "output_offset": 1}.get(field, "00" * 16)
    tampered = talk(world, request(msgspec.json.encode(body | {field: value})))
    texts = [
        msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])["choices"][0]["text"]
        for answer in (plain, tampered)
    ]
    assert texts[0] == texts[1]
