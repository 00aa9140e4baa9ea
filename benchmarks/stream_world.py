"""Engines, instances and callers on loopback, for streams under faults."""

import hashlib
import http.client
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.compose.instance import start_instance
from buckthornrock.conf import parse_settings
from buckthornrock.httpd import Handler, start_server
from buckthornrock.standins.engine import (
    EngineParameters,
    EngineStandin,
    output_token,
    start_engine,
)
from buckthornrock.standins.kv import KvStandin, start_kv

#: Keys of two members of one client account, and of another client account.
KEYS = {
    "north-key": ("agency", "north"),
    "south-key": ("agency", "south"),
    "shop-key": ("shop", ""),
}
TIMEOUT_S = 30.0


class Answer(NamedTuple):
    """What one attempt of a caller got.

    Parameters
    ----------
    is_whole : bool
        Whether the explicit end came.
    error_code : str
        Code of the problem document, or of the error event; "" without one.
    last_event_id : str
        Id of the last event with text.
    """

    status: int
    text: str
    is_whole: bool
    error_code: str
    last_event_id: str


class StreamWorld:
    """Running engines and instances that share a key-value service.

    Parameters
    ----------
    handlers : sequence of callable
        HTTP handlers of further engines.
    **parameters : object
        Of the emulated engines.
    """

    def __init__(
        self,
        n_engines: int,
        n_instances: int = 1,
        handlers: Sequence[Handler] = (),
        **parameters: object,
    ) -> None:
        values = {"inter_token_ms": 2.0, "max_batch": 64, **parameters}
        self.engines = [
            EngineStandin(EngineParameters(**values), f"engine-{i}")
            for i in range(n_engines)
        ]
        self._servers = [start_engine(e, n_threads=128) for e in self.engines]
        self._servers += [start_server("127.0.0.1", 0, h, 32) for h in handlers]
        self._servers.append(start_kv(KvStandin()))
        documents = [self._document(i) for i in range(n_instances)]
        self.instances = [
            start_instance(parse_settings(msgspec.json.encode(d)).ok) for d in documents
        ]
        self.ports = [instance.entry.port for instance in self.instances]
        self._apply_profile()

    def stop(self) -> None:
        """Stop everything."""
        for instance in self.instances:
            instance.stop()
        for server in self._servers:
            server.stop()

    def _apply_profile(self) -> None:
        profile = demo_profile()
        limits = {"requests_per_s": 1e6, "tokens_per_s": 1e9, "weight": 1.0}
        profile["default_limits"] = limits
        body = {"expected_version": 0, "profile": profile}
        port = self.instances[0].operator.port
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
        head = {"Authorization": "Bearer operator-key"}
        raw = msgspec.json.encode(body)
        connection.request("PUT", "/v1/profiles/default", raw, head)
        assert connection.getresponse().status == 200
        connection.close()

    def _document(self, number: int) -> dict:
        servers = [
            {
                "id": f"engine-{index}",
                "kind": "engine",
                "address": f"127.0.0.1:{server.port}",
                "failure_domain": f"fd-{index % 3}",
                "models": ["small"],
            }
            for index, server in enumerate(self._servers[:-1])
        ]
        keys = [
            {"sha256": _digest(key), "client_account": account, "member": member}
            for key, (account, member) in KEYS.items()
        ]
        kv_port = self._servers[-1].port
        return {
            "instance_id": f"router-{number}",
            "failure_domain": "fd-0",
            "isolation_secret": "stream-world-secret",
            "entry": {"port": 0, "n_threads": 128, "drain_grace_ms": 50},
            "operator": {"port": 0, "keys_sha256": [_digest("operator-key")]},
            "platform": {"kv": {"url": f"http://127.0.0.1:{kv_port}"}},
            "upstreams": {"servers": servers, "stall_timeout_ms": 1_500},
            "caller_keys": keys,
        }


def ask(
    port: int,
    prompt: str,
    n_tokens: int,
    key: str = "north-key",
    last_event_id: str = "",
    cut_after_n_events: int = -1,
    on_begun: Callable[[], object] = lambda: None,
) -> Answer:
    """Ask for a stream; hang up after some events unless that is -1.

    ``on_begun`` is called when the first text has come.
    """
    body = {
        "model": "small",
        "prompt": prompt,
        "max_tokens": n_tokens,
        "stream": True,
    }
    head = {"Authorization": f"Bearer {key}"}
    if last_event_id:
        head["Last-Event-ID"] = last_event_id
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request("POST", "/v1/completions", msgspec.json.encode(body), head)
        response = connection.getresponse()
        if response.status != 200:
            code = msgspec.json.decode(response.read())["code"]
            return Answer(response.status, "", False, code, "")
        return _read_events(response, cut_after_n_events, on_begun)
    finally:
        connection.close()


def _read_events(
    response: http.client.HTTPResponse, cut_after: int, on_begun: Callable[[], object]
) -> Answer:
    texts: list[str] = []
    fields: dict[str, str] = {}
    last_event_id = error_code = ""
    is_whole = False
    while cut_after < 0 or len(texts) < cut_after:
        try:
            line = response.readline()
        except (http.client.HTTPException, OSError):
            break
        if not line:
            break
        if line != b"\n":
            name, _, value = line.decode().rstrip("\n").partition(": ")
            fields[name] = value
            continue
        data = fields.get("data", "")
        if data == "[DONE]":
            is_whole = True
        elif fields.get("event") == "error":
            error_code = msgspec.json.decode(data)["code"]
        elif data:
            texts.append(msgspec.json.decode(data)["choices"][0]["text"])
            last_event_id = fields.get("id", "")
            if len(texts) == 1:
                on_begun()
        fields = {}
    text = "".join(texts)
    return Answer(200, text, is_whole, error_code, last_event_id)


def expected_text(prompt: str, n_tokens: int, weights_version: str = "w1") -> str:
    """Return the undisturbed answer."""
    tokens = (output_token(weights_version, prompt, i) for i in range(n_tokens))
    return "".join(tokens)


def verdict(answer: Answer, prompt: str, n_tokens: int) -> str:
    """Name what a caller got; a name that begins with "WRONG" must never come."""
    wanted = expected_text(prompt, n_tokens)
    if answer.is_whole:
        return "whole" if answer.text == wanted else "WRONG: false end"
    if not wanted.startswith(answer.text):
        return "WRONG: altered text"
    if answer.error_code:
        return f"typed error {answer.error_code}"
    return "WRONG: cut without a typed error"


def random_prompt(rng: random.Random, n_bytes: int = 1_500) -> str:
    """Return a prompt that shares its first half with a few others."""
    shared = f"contract {rng.randrange(5)} " * (n_bytes // 24)
    return shared + rng.randbytes(n_bytes // 4).hex()


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
