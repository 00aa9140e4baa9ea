"""Upstream registry, health tracking and the orders that engines are sent."""

from .registry import Fleet
from .views import EngineView, ServiceView, UpstreamStatus

__all__ = ["EngineView", "Fleet", "ServiceView", "UpstreamStatus"]
