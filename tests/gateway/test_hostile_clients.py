"""Traffic of hostile clients against a process with low limits.

Each test guards against a process that exits, hangs or exceeds its limits while a crowd
of clients makes it hold as much as it can. Bounds are those of the settings file. An
ordinary request must be answered while the crowd is still connected; neither the time
that takes nor the share of the crowd that is served is checked.
"""

import resource
import selectors
import socket
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from tests.gateway.instance_process import HOST, Instance, ask, get, start_instance

MEMORY_MB = 128
MAX_FDS = 400
N_CLIENTS = 60
#: More than ``MAX_FDS``.
N_MANY_CLIENTS = 900
MAX_BODY_BYTES = 4_194_304
PIECE_BYTES = 65_536
#: The crowd stops sending when nobody could send for this long, or at the limit.
QUIET_S = 1.0
LOAD_LIMIT_S = 8.0

PATHS = {
    "route": "/read/10",
    "no-route": "/nowhere/10",
    "ready": "/readyz",
    "metrics": "/metrics",
}


class Crowd(NamedTuple):
    """Clients that send the same pieces of data and read nothing."""

    pieces: list[bytes]
    n_clients: int = N_CLIENTS


def post(path: str, *fields: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def body_short_of_its_end(path: str) -> Crowd:
    head = post(path, f"Content-Length: {MAX_BODY_BYTES}")
    body = b"x" * (MAX_BODY_BYTES - 1)
    return Crowd([head, *split(body, PIECE_BYTES)])


def body_in_small_pieces(path: str) -> Crowd:
    head = post(path, f"Content-Length: {MAX_BODY_BYTES}")
    return Crowd([head, *split(b"x" * (MAX_BODY_BYTES // 2), 4_096)])


def body_in_chunks(path: str) -> Crowd:
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    n_chunks = MAX_BODY_BYTES // PIECE_BYTES - 1
    return Crowd([post(path, "Transfer-Encoding: chunked"), *[chunk] * n_chunks])


def body_in_tiny_chunks(path: str) -> Crowd:
    chunks = b"2\r\nxy\r\n" * (PIECE_BYTES // 2)
    head = post(path, "Transfer-Encoding: chunked")
    return Crowd([head, *split(chunks, PIECE_BYTES)])


def body_far_over_the_limit(path: str) -> Crowd:
    head = post(path, f"Content-Length: {MAX_BODY_BYTES * 16}")
    return Crowd([head, *split(b"x" * MAX_BODY_BYTES * 2, PIECE_BYTES)])


def many_short_fields(path: str) -> Crowd:
    head = post(path, *["a:b"] * 2_600, "Content-Length: 1")
    return Crowd([head])


def whole_bodies(path: str) -> Crowd:
    head = post(path, f"Content-Length: {MAX_BODY_BYTES}")
    return Crowd([head, *split(b"x" * MAX_BODY_BYTES, PIECE_BYTES)])


def pipelined_requests(path: str) -> Crowd:
    requests = get(path) * (MAX_BODY_BYTES // len(get(path)))
    return Crowd(split(requests, PIECE_BYTES))


def pipelined_large_responses(path: str) -> Crowd:
    large = path.replace("/10", f"/{MAX_BODY_BYTES // 2}")
    return Crowd([get(large) * 16])


def unread_streams(path: str) -> Crowd:
    return Crowd([get(path.replace("/read/10", f"/long/{MAX_BODY_BYTES * 2}"))])


def incomplete_heads(path: str) -> Crowd:
    return Crowd([post(path)[:-2] + b"a:" + b"x" * 8_192], N_MANY_CLIENTS)


def silent_connections(path: str) -> Crowd:
    return Crowd([], N_MANY_CLIENTS)


KINDS = [
    body_short_of_its_end,
    body_in_small_pieces,
    body_in_chunks,
    body_in_tiny_chunks,
    body_far_over_the_limit,
    many_short_fields,
    whole_bodies,
    pipelined_requests,
    pipelined_large_responses,
    unread_streams,
    incomplete_heads,
    silent_connections,
]


def split(data: bytes, n_bytes: int) -> list[bytes]:
    return [data[n : n + n_bytes] for n in range(0, len(data), n_bytes)]


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
@pytest.mark.parametrize("place", PATHS)
def test_limits_hold(tmp_path, kind, place):
    instance = start_instance(tmp_path, MEMORY_MB, MAX_FDS)
    try:
        address = address_of(instance, place)
        n_most_descriptors = 0
        with connected(kind(PATHS[place]), address) as load:
            for _ in load:
                assert instance.is_running()
                n_most_descriptors = max(n_most_descriptors, instance.n_descriptors())
            answer = ask(instance.front_address, get("/read/10", "ordinary"))
            ready_status, _ = ask(instance.ready_address, get("/readyz"))
        assert instance.is_running()
        assert instance.peak_memory_bytes() <= MEMORY_MB * 1_000_000
        assert n_most_descriptors <= MAX_FDS
        assert (answer[0], len(answer[1])) == (200, 10)
        assert ready_status == 200
    finally:
        instance.stop()


def address_of(instance: Instance, place: str) -> tuple[str, int]:
    """Return the address that serves a place of ``PATHS``."""
    if place == "ready":
        return instance.ready_address
    if place == "metrics":
        return instance.metrics_address
    return instance.front_address


class connected:  # noqa: N801
    """Context in which a crowd is connected; iterating over it sends its pieces."""

    def __init__(self, crowd: Crowd, address: tuple[str, int]) -> None:
        self._crowd = crowd
        self._address = address
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Iterator[None]:
        allow_descriptors(self._crowd.n_clients * 2 + 500)
        return self._send()

    def __exit__(self, *_) -> None:
        for sock in self._sockets:
            sock.close()

    def _send(self) -> Iterator[None]:
        """Send to all in turn until done or stuck; yield now and then."""
        with selectors.DefaultSelector() as selector:
            for _ in range(self._crowd.n_clients):
                sock = socket.socket()
                self._sockets.append(sock)
                sock.setblocking(False)
                sock.connect_ex(self._address)
                pieces = iter(self._crowd.pieces)
                selector.register(sock, selectors.EVENT_WRITE, [pieces, b""])
                yield
            until_s = time.monotonic() + LOAD_LIMIT_S
            while selector.get_map() and time.monotonic() < until_s:
                writable = selector.select(QUIET_S)
                if not writable:
                    break
                for key, _ in writable:
                    if not send_next(key.fileobj, key.data):
                        selector.unregister(key.fileobj)
                yield
        # What was sent last is processed before the bounds are checked.
        time.sleep(QUIET_S)
        yield


def send_next(sock: socket.socket, state: list) -> bool:
    """Send a part of the next piece; return whether there is more to send."""
    pieces, rest = state
    rest = rest or next(pieces, b"")
    if not rest:
        return False
    try:
        n_sent = sock.send(rest)
    except BlockingIOError:
        n_sent = 0
    except OSError:
        return False
    state[1] = rest[n_sent:]
    return True


def allow_descriptors(n: int) -> None:
    """Raise the soft limit of this process to ``n`` if it is lower."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < n:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(n, hard), hard))
