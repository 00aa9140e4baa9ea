"""Clients of each route; they keep their connections and send one request at a time."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import h11

from . import deployment
from .http_connection import HttpConnection, connect, header
from .instances import Instance
from .record import Answered, Record, Sent
from .upstreams import CRASHING_PART, PREFIX

RESPONSE_LIMIT_S = 9.0
#: Some 90 requests a second in all, so that the tool needs a third of a core.
PAUSE_S = 0.25
RECONNECT_PAUSE_S = 0.1
QUIET_POLL_S = 0.01
#: Share of requests whose client leaves within this time.
LEAVING_SHARE, LEAVES_WITHIN_S = 0.03, 0.1
SHARED_PARTS = {"note": ("5c1e07a2", 92), "long": ("71aa0031", 13_300)}
#: (route, account) of one client at each instance.
CLIENTS = (
    ("read", "plain-a"),
    ("pay", "plain-a"),
    ("pay", deployment.LOSES_KEYS),
    ("note", "plain-a"),
    ("note", deployment.BECOMES_ISOLATED),
    ("note", deployment.ALWAYS_ISOLATED),
    ("long", deployment.LOSES_KEYS),
    ("long", deployment.BECOMES_ISOLATED),
)


class Call(NamedTuple):
    """One request to be sent."""

    request_id: str
    route: str
    account: str
    key: str
    parts: tuple[tuple[str, int], ...] = ()
    n_response_tokens: int = 15
    body: bytes = b""
    #: The client leaves if it has no whole response then.
    response_limit_s: float = RESPONSE_LIMIT_S

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers of the request."""
        headers = [
            ("Host", deployment.HOST),
            ("Content-Length", str(len(self.body))),
            ("Authorization", f"Bearer {self.key}"),
            (PREFIX + "request-id", self.request_id),
            (PREFIX + "deadline-ms", "5000"),
        ]
        if not self.parts:
            return headers
        n_tokens = sum(tokens for _, tokens in self.parts)
        return headers + [
            (PREFIX + "model", deployment.MODEL),
            (PREFIX + "token-count", f"{n_tokens},{self.n_response_tokens}"),
            (PREFIX + "prefix-hash", ",".join(f"{p}:{n}" for p, n in self.parts)),
        ]

    def sent(self, at_s: float, instance: str) -> Sent:
        """Return what is noted of the request."""
        n_tokens = sum(tokens for _, tokens in self.parts)
        return Sent(
            at_s,
            self.request_id,
            self.route,
            instance,
            self.account,
            self.key,
            tuple(part for part, _ in self.parts),
            n_tokens + self.n_response_tokens if self.parts else 0,
            self.body,
        )


def make_call(
    name: str, n: int, route: str, account: str, key: str, rng, bad=""
) -> Call:
    """Return the ``n``-th request of a client; ``bad`` is a crashing part."""
    request_id = f"{name}-{n}"
    parts = ()
    if route in SHARED_PARTS:
        own = (f"{rng.getrandbits(32):08x}", 100)
        crashing = ((bad, 50),) if bad else ()
        parts = (SHARED_PARTS[route], *crashing, own)
    body = rng.randbytes(rng.randrange(1, 2_000))
    call = Call(request_id, route, account, key, parts, body=body)
    if rng.random() < LEAVING_SHARE:
        return call._replace(response_limit_s=rng.uniform(0.0, LEAVES_WITHIN_S))
    return call


async def send(
    connection: HttpConnection, call: Call, instance: str, record: Record
) -> Answered:
    """Send a request and note what becomes of it."""
    record.note(call.sent(time.monotonic(), instance))
    status, body, echoed_id, stamp, error = 0, bytearray(), "", "", ""
    is_whole = has_left = False
    try:
        async with asyncio.timeout(call.response_limit_s):
            head = h11.Request(
                method="POST", target=f"/{call.route}/x", headers=call.headers()
            )
            await connection.send(head, h11.Data(data=call.body), h11.EndOfMessage())
            response = await connection.next_event()
            if not isinstance(response, h11.Response):
                raise h11.RemoteProtocolError(f"no response but {response!r}")
            status = response.status_code
            echoed_id = header(response.headers, PREFIX + "request-id")
            stamp = header(response.headers, PREFIX + "server-stamp")
            while isinstance(event := await connection.next_event(), h11.Data):
                body += event.data
            is_whole = isinstance(event, h11.EndOfMessage)
    except (OSError, TimeoutError, h11.ProtocolError) as failure:
        error = f"{type(failure).__name__}: {failure}"
        has_left = isinstance(failure, TimeoutError)
        has_left &= call.response_limit_s < RESPONSE_LIMIT_S
    answered = Answered(
        time.monotonic(),
        call.request_id,
        status,
        is_whole,
        bytes(body),
        echoed_id,
        stamp,
        error,
        has_left,
    )
    record.note(answered)
    return answered


async def run_client(
    name: str,
    first: int,
    instances: list[Instance],
    record: Record,
    make: Callable[[int, random.Random], Call],
    is_over: asyncio.Event,
    is_quiet: Callable[[], bool],
    seed: str,
    pause_s: float = PAUSE_S,
) -> None:
    """Send requests until the run is over; after a failure go to the next instance."""
    rng = random.Random(f"{seed}/{name}")
    numbers = itertools.count(1)
    connection, position = None, first
    while not is_over.is_set():
        await asyncio.sleep(rng.uniform(0.5, 1.5) * pause_s)
        while is_quiet():
            await asyncio.sleep(QUIET_POLL_S)
        instance = instances[position % len(instances)]
        try:
            connection = connection or await connect(instance.addresses.front)
        except (OSError, TimeoutError):
            position += 1
            await asyncio.sleep(RECONNECT_PAUSE_S)
            continue
        call = make(next(numbers), rng)
        answered = await send(connection, call, instance.name, record)
        if not answered.is_whole or not connection.may_continue():
            connection.abort()
            connection = None
            position = first if answered.is_whole else position + 1


async def send_once(call: Call, instance: Instance, record: Record) -> None:
    """Send one request on a connection of its own."""
    try:
        connection = await connect(instance.addresses.front)
    except (OSError, TimeoutError):
        return
    await send(connection, call, instance.name, record)
    connection.abort()


def crashing_call(name: str, n: int, rng: random.Random) -> Call:
    """Return a request with the part that crashes engines."""
    key = deployment.keys_of("plain-a", deployment.State())[0]
    return make_call(name, n, "note", "plain-a", key, rng, CRASHING_PART)
