"""A server of a plain service that a test can tell how to behave."""

import threading
import time

from tests.upstreams.raw_server import RawServer, answer


class SwitchServer(RawServer):
    """Counts runs by body; a test may set a delay, a whole answer or a script."""

    def __init__(self):
        self._lock = threading.Lock()
        self.reset()
        super().__init__(lambda server, connection: self.script(server, connection))

    def reset(self):
        self.runs = {}
        self.delay_s = 0.0
        self.whole_answer = None
        self.script = count_and_answer
        self.n_connections = 0


def count_and_answer(server, connection):
    while server.read_request(connection):
        body = server.requests[-1].partition(b"\r\n\r\n")[2]
        with server._lock:
            server.runs[body] = server.runs.get(body, 0) + 1
        time.sleep(server.delay_s)
        text = b"run %d of " % server.runs[body] + body
        connection.sendall(server.whole_answer or answer(text))
