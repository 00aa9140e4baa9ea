"""Clients that send too much, too slowly or without reading don't exhaust an instance.

The tests start the real process with lowered limits in its settings. They check that
it lives, that its memory and open descriptors stay under a bound that follows from the
settings, and that an ordinary request is answered while the crowd is still connected.
They check no times and no share of served requests.
"""

import pytest

from tests.dispatch.service_harness import OPERATOR_KEY
from tests.entry.hostile_world import (
    CALLER_KEY,
    ENTRY_LIMITS,
    OPERATOR_LIMITS,
    Client,
    HostileWorld,
    endure,
)

#: More clients than connections that the settings allow.
N_ENTRY_CLIENTS = 220
N_OPERATOR_CLIENTS = 60
LOAD_S = 8.0
ENTRY_TARGETS = (
    ("POST", "/v1/completions"),
    ("POST", "/nowhere"),
    ("POST", "/readyz"),
    ("POST", "/services/orders/1"),
    ("GET", "/services/orders/1"),
)
OPERATOR_TARGETS = (
    ("GET", "/healthz"),
    ("GET", "/readyz"),
    ("POST", "/nowhere"),
    ("PUT", "/v1/profiles/other"),
    ("GET", "/v1/upstreams"),
)


@pytest.fixture
def world(tmp_path):
    """Start a process for each test, as memory is not always returned to the system."""
    world = HostileWorld(tmp_path)
    yield world
    world.stop()


def head(target, key, *fields):
    method, path = target
    lines = (
        f"{method} {path} HTTP/1.1",
        "Host: x",
        f"Authorization: Bearer {key}",
        *fields,
    )
    return ("\r\n".join(lines) + "\r\n").encode()


def with_length(target, key, n_bytes, n_sent):
    return head(target, key, f"Content-Length: {n_bytes}") + b"\r\n" + b"x" * n_sent


def in_chunks(target, key, n_bytes, chunk_bytes):
    """Return a body in chunks, without the last one."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    start = head(target, key, "Transfer-Encoding: chunked") + b"\r\n"
    return start + chunk * (n_bytes // chunk_bytes)


def short_fields(n_bytes):
    """Return different header fields that are as short as possible."""
    fields = b"".join(b"%x:\r\n" % n for n in range(n_bytes // 5))
    return fields[: fields.rindex(b"\n", 0, n_bytes) + 1]


def whole_but_one(target, key, max_bytes):
    return Client(with_length(target, key, max_bytes, max_bytes - 1), 65_536)


def whole_in_pieces(target, key, max_bytes):
    return Client(with_length(target, key, max_bytes, max_bytes - 1), 1_400)


def whole_complete(target, key, max_bytes):
    """Send JSON of a legal size that takes many times its size once it is decoded."""
    body = (b"[" + b"[]," * (max_bytes // 3))[: max_bytes - 3] + b"[]]"
    start = with_length(target, key, len(body), 0)
    return Client(start + body, 65_536, reads=False)


def large_chunks(target, key, max_bytes):
    return Client(in_chunks(target, key, max_bytes - 1, 4_096), 65_536)


def one_byte_chunks(target, key, max_bytes):
    return Client(in_chunks(target, key, max_bytes // 2, 1), 65_536)


def far_too_long(target, key, max_bytes):
    n_bytes = 10 * max_bytes
    return Client(with_length(target, key, n_bytes, n_bytes), 65_536)


def endless_chunks(target, key, max_bytes):
    return Client(in_chunks(target, key, 10 * max_bytes, 8_192), 65_536)


def many_fields(target, key, max_bytes):
    """Send a head of many fields and a body that never ends."""
    start = head(target, key, f"Content-Length: {max_bytes}")
    return Client(start + short_fields(60_000) + b"\r\n" + b"x" * 100, 65_536)


def many_fields_unfinished(target, key, max_bytes):
    return Client(head(target, key) + short_fields(60_000), 65_536)


def pipelined_unread(target, key, max_bytes):
    request = with_length(target, key, 2, 0) + b"{}"
    return Client(request * (max_bytes // len(request)), 65_536, reads=False)


def slow_head(target, key, max_bytes):
    return Client(head(target, key) + short_fields(1_000), 1, 0.05)


def slow_body(target, key, max_bytes):
    """Send a body whose parts come before each read times out."""
    payload = with_length(target, key, max_bytes, 4_000)
    return Client(payload, 2_000, 1.0)


def half_head(target, key, max_bytes):
    return Client(head(target, key)[:40], 40)


def half_body(target, key, max_bytes):
    return Client(with_length(target, key, 1_000, 500), 65_536)


#: Name -> (client, size of the crowd in parts of the usual one). A crowd whose clients
#: hold little has more connections than both ports allow.
TRAFFIC = {
    "bodies one byte short": (whole_but_one, 1.0),
    "bodies one byte short in pieces": (whole_in_pieces, 1.0),
    "whole bodies, responses unread": (whole_complete, 1.0),
    "bodies in chunks": (large_chunks, 1.0),
    "bodies in one-byte chunks": (one_byte_chunks, 0.3),
    "bodies over the limit": (far_too_long, 1.0),
    "endless chunks": (endless_chunks, 1.0),
    "many short fields": (many_fields, 1.0),
    "many short fields without an end": (many_fields_unfinished, 1.0),
    "pipelined requests, responses unread": (pipelined_unread, 1.0),
    "slow heads": (slow_head, 5.0),
    "slow bodies": (slow_body, 1.0),
    "half a head": (half_head, 5.0),
    "half a body": (half_body, 5.0),
}


@pytest.mark.parametrize(("make", "share"), TRAFFIC.values(), ids=TRAFFIC)
def test_entry_port_endures(world, make, share):
    n_clients = int(N_ENTRY_CLIENTS * share)
    max_bytes = ENTRY_LIMITS["max_body_bytes"]
    clients = [
        make(ENTRY_TARGETS[n % len(ENTRY_TARGETS)], CALLER_KEY, max_bytes)
        for n in range(n_clients)
    ]
    endure(world, world.entry_port, clients, LOAD_S)


@pytest.mark.parametrize(("make", "share"), TRAFFIC.values(), ids=TRAFFIC)
def test_operator_port_endures(world, make, share):
    n_clients = int(N_OPERATOR_CLIENTS * share)
    max_bytes = OPERATOR_LIMITS["max_body_bytes"]
    clients = [
        make(OPERATOR_TARGETS[n % len(OPERATOR_TARGETS)], OPERATOR_KEY, max_bytes)
        for n in range(n_clients)
    ]
    endure(world, world.operator_port, clients, LOAD_S)
