"""The stand-in of the platform's store: that of the tests, with leases that expire."""

import json
import threading
import time

from tests.platform.store_server import StoreServer

from .record import LeaseTaken, Record

#: Key of the instance that may send orders; its value ends with "/" and the name.
HOLDER_KEY = "rollout/holder"
EXPIRY_PERIOD_S = 0.1


class SoakStore(StoreServer):
    """A store whose leases end when they aren't renewed in time."""

    def __init__(self, record: Record) -> None:
        self._is_closed = False
        self._record = record
        self._ends_s: dict[int, tuple[float, float]] = {}
        super().__init__()
        # Connections that end with a fault aren't worth a traceback.
        self.server.handle_error = lambda *_: None
        self.server.request_queue_size = 256
        threading.Thread(target=self._expire, daemon=True).start()

    def close(self) -> None:
        """End all threads that serve."""
        self._is_closed = True
        super().close()

    def handle(self, path, query, body):
        """Handle one call and note until when its lease lasts."""
        status, result = super().handle(path, query, body)
        if status == 200 and path == "/kv-lease":
            ttl_s = body["ttlMs"] / 1000.0
            self._ends_s[result["lease"]] = (time.monotonic() + ttl_s, ttl_s)
        if status == 200 and path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            ttl_s = self._ends_s[lease][1]
            self._ends_s[lease] = (time.monotonic() + ttl_s, ttl_s)
        return status, result

    def put(self, key, value, lease=0):
        """Set a key, and note who takes the lease for orders."""
        super().put(key, value, lease)
        if key == HOLDER_KEY:
            holder = value.rpartition(b"/")[2].decode()
            self._record.note(LeaseTaken(time.monotonic(), holder))

    def write_json(self, key: str, value: object) -> float:
        """Write a key; return when the write was done."""
        self.write(key, json.dumps(value).encode())
        return time.monotonic()

    def _expire(self) -> None:
        while not self._is_closed:
            time.sleep(EXPIRY_PERIOD_S)
            with self.changed:
                now_s = time.monotonic()
                ended = [k for k, (end_s, _) in self._ends_s.items() if end_s <= now_s]
                for lease in ended:
                    del self._ends_s[lease]
                    if lease in self.leases:
                        self.end_lease(lease)
                        self.changed.notify_all()
