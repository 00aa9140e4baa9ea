"""HTTP servers based on cheroot, each with one handler function."""

from .exchange import BodyProblem, Exchange
from .server import Handler, HttpServer, start_server

__all__ = ["BodyProblem", "Exchange", "Handler", "HttpServer", "start_server"]
