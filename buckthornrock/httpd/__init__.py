"""HTTP servers based on cheroot, each with one handler function."""

from .bodies import BodyProblem
from .budget import Limit
from .connection import RequestHead
from .exchange import Exchange, Overloaded
from .server import Handler, HttpServer, ServerLimits, start_server

__all__ = [
    "BodyProblem",
    "Exchange",
    "Handler",
    "HttpServer",
    "Limit",
    "Overloaded",
    "RequestHead",
    "ServerLimits",
    "start_server",
]
