"""Choice of an engine: block hashes, the cache index and the cost estimate."""

from .port import RouteChoice, RouteQuery, RoutingPort

__all__ = ["RouteChoice", "RouteQuery", "RoutingPort"]
