"""A TCP proxy that can make its open connections silent, as DEPLOY.md says of links."""

import selectors
import socket
import threading
import time

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections to ``target``; ``address`` is IP:PORT.

    A connection that was made silent stays open on both sides, and nothing that is
    sent on it arrives any more. New connections work.
    """

    def __init__(self, ip, target):
        self.target = target
        self._lock = threading.Lock()
        self._epoch = 0
        self._open = 0
        self._listener = socket.create_server((ip, 0), backlog=256)
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Make the open connections silent; return how many there are."""
        with self._lock:
            self._epoch += 1
            return self._open

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._forward, args=(client,), daemon=True).start()

    def _forward(self, client):
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), 2.0)
        except OSError:
            client.close()
            return
        with self._lock:
            epoch = self._epoch
            self._open += 1
        other = {client: server, server: client}
        with selectors.DefaultSelector() as selector:
            for sock in other:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(sock, selectors.EVENT_READ)
            while self._pump(selector, other, epoch):
                pass
        with self._lock:
            self._open -= 1
        for sock in other:
            sock.close()

    def _pump(self, selector, other, epoch):
        """Forward what has arrived; return whether the connection goes on."""
        for key, _ in selector.select(0.2):
            try:
                data = key.fileobj.recv(CHUNK_BYTES)
            except OSError:
                return False
            with self._lock:
                is_silent = self._epoch != epoch
            if is_silent:
                if not data:
                    # The side that gave up is gone; the other side hears nothing of it.
                    selector.unregister(key.fileobj)
                    return bool(selector.get_map())
                continue
            if not data:
                return False
            try:
                other[key.fileobj].sendall(data)
            except OSError:
                return False
        return True


def sleep_until(at_s):
    """Sleep until a time of the monotonic clock."""
    time.sleep(max(0.0, at_s - time.monotonic()))
