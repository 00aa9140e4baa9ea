"""Daemon threads of HTTP servers, and ports that are in use."""

import threading

import pytest

from buckthornrock.httpd import start_server


@pytest.fixture
def server():
    server = start_server("127.0.0.1", 0, lambda exchange: None, 3)
    yield server
    server.stop()


def test_no_thread_keeps_the_process_alive(server):
    others = [t for t in threading.enumerate() if t is not threading.main_thread()]
    assert [t.name for t in others if not t.daemon] == []


def test_port_in_use_is_an_os_error(server):
    with pytest.raises(OSError):
        start_server("127.0.0.1", server.port, lambda exchange: None, 1)
