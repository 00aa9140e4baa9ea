"""Choice of an engine by block hashes, the cache index and a cost estimate."""

from .port import PeerDigest, RouteChoice, RouteQuery, RoutingPort

__all__ = ["PeerDigest", "RouteChoice", "RouteQuery", "RoutingPort"]
