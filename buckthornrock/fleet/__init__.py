"""The upstreams: their health, their load, and the orders they get."""

from .registry import Fleet
from .views import EngineView, ServiceView, UpstreamStatus

__all__ = ["EngineView", "Fleet", "ServiceView", "UpstreamStatus"]
