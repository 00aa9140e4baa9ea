"""Choice of an engine: block hashes, the cache index and the cost estimate."""

from .port import PeerDigest, RouteChoice, RouteQuery, RoutingPort

__all__ = ["PeerDigest", "RouteChoice", "RouteQuery", "RoutingPort"]
