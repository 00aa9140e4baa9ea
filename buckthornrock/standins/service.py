"""A plain service that counts how often each call ran."""

import threading
from collections import Counter

import msgspec

from ..httpd import Exchange, HttpServer, start_server


class ServiceStandin:
    """Runs every call it gets and remembers it.

    Attributes
    ----------
    runs : collections.Counter
        Runs by request body.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: Counter[bytes] = Counter()
        self._lock = threading.Lock()

    def handle(self, exchange: Exchange) -> None:
        """Answer one call with how often this body has run."""
        body = exchange.read_body().default_value(b"")
        with self._lock:
            self.runs[body] += 1
            n_runs = self.runs[body]
        answer = {"service": self.name, "path": exchange.path, "n_runs": n_runs}
        request_id = exchange.headers.get("x-request-id", "")
        exchange.respond(
            200,
            msgspec.json.encode(answer),
            {"Content-Type": "application/json", "X-Request-Id": request_id},
        )


def start_service(standin: ServiceStandin, port: int = 0) -> HttpServer:
    """Serve ``standin`` on loopback."""
    return start_server("127.0.0.1", port, standin.handle, n_threads=16)
