"""HTTP servers on cheroot: one handler function a server."""

from .exchange import BodyProblem, Exchange
from .server import Handler, HttpServer, start_server

__all__ = ["BodyProblem", "Exchange", "Handler", "HttpServer", "start_server"]
