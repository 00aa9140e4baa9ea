"""A server on raw sockets that can close a connection at any point of an exchange."""

import socket
import threading


class RawServer:
    """Runs ``script(server, connection)`` in a thread for every connection."""

    def __init__(self, script):
        self.n_connections = 0
        self.requests = []
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        listener = self._listener
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self.n_connections += 1
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        with connection:
            try:
                self._script(self, connection)
            except OSError:
                return

    def read_request(self, connection):
        """Read a complete request, append it to ``requests`` and return its head."""
        raw = b""
        while b"\r\n\r\n" not in raw:
            part = connection.recv(65_536)
            if not part:
                return b""
            raw += part
        head, _, body = raw.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += connection.recv(65_536)
        self.requests.append(head + b"\r\n\r\n" + body)
        return head

    def pause(self):
        """Refuse connections until :meth:`resume`."""
        self.stop()

    def resume(self):
        host, _, port = self.address.partition(":")
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        # Without the shutdown a blocked accept would still take one more connection.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def make_response(body=b"ok", headers=b"", status=b"200 OK"):
    """Return the bytes of a complete response."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + length + headers + b"\r\n" + body


def close_at_once(server, connection):
    connection.close()


def close_in_request(server, connection):
    connection.recv(1)
    connection.close()


def close_after_request(server, connection):
    server.read_request(connection)


def close_in_head(server, connection):
    server.read_request(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\nConte")


def close_after_head_line(server, connection):
    server.read_request(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\nServer: x\r\n")


def close_in_body(server, connection):
    server.read_request(connection)
    connection.sendall(make_response(b"whole")[:-2])


def respond_with_wrong_id(server, connection):
    server.read_request(connection)
    connection.sendall(make_response(b"mine", b"X-Request-Id: another\r\n"))


def keep_responding(server, connection):
    while server.read_request(connection):
        connection.sendall(make_response())


def keep_echoing(server, connection):
    """Respond to every request with the id of the request."""
    while head := server.read_request(connection):
        connection.sendall(make_response(headers=echoed_id(head)))


def echoed_id(head):
    """Return the header line of a response that repeats the id of its request."""
    lines = head.split(b"\r\n")
    ids = [line for line in lines if line.lower().startswith(b"x-request-id:")]
    return b"".join(line + b"\r\n" for line in ids)


def answer_then_close_idle(server, connection):
    server.read_request(connection)
    connection.sendall(make_response())
