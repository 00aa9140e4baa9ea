"""The platform's lagging list of live and leaving instances."""

import threading

from ..httpd import Exchange, HttpServer, start_server


class InstanceListStandin:
    """Holds the list and answers with it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._instances: dict[str, dict] = {}
        self._upstreams: dict[str, dict] = {}

    def set_instance(
        self, instance_id: str, address: str, failure_domain: str, state: str = "live"
    ) -> None:
        """Add an instance, or change its state ("live", "leaving" or "gone")."""
        row = {"id": instance_id, "address": address}
        row |= {"failure_domain": failure_domain, "state": state}
        with self._lock:
            self._instances[instance_id] = row

    def set_upstream(self, upstream_id: str, state: str) -> None:
        """Change an upstream's state."""
        with self._lock:
            self._upstreams[upstream_id] = {"id": upstream_id, "state": state}

    def handle(self, exchange: Exchange) -> None:
        """Answer with the list."""
        with self._lock:
            answer = {
                "instances": list(self._instances.values()),
                "upstreams": list(self._upstreams.values()),
            }
        exchange.respond_json(200, answer)


def start_instance_list(standin: InstanceListStandin, port: int = 0) -> HttpServer:
    """Serve ``standin`` on loopback."""
    return start_server("127.0.0.1", port, standin.handle, n_threads=4)
