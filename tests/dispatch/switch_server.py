"""A server of a plain service whose behaviour a test can change."""

import threading
import time

from tests.upstreams.raw_server import RawServer, make_response


class SwitchServer(RawServer):
    """Counts runs by request body; a test may set a delay, a response or a script."""

    def __init__(self):
        self._lock = threading.Lock()
        self.reset()
        super().__init__(lambda server, connection: self.script(server, connection))

    def reset(self):
        self.runs = {}
        self.delay_s = 0.0
        self.full_response = None
        self.script = count_and_respond
        self.n_connections = 0


def count_and_respond(server, connection):
    while server.read_request(connection):
        body = server.requests[-1].partition(b"\r\n\r\n")[2]
        with server._lock:
            server.runs[body] = server.runs.get(body, 0) + 1
        time.sleep(server.delay_s)
        text = b"run %d of " % server.runs[body] + body
        connection.sendall(server.full_response or make_response(text))
