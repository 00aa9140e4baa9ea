"""Deferred work: durable acceptance, running, and results."""

from .port import DeferredPort, JobSubmission, JobView
from .service import DeferredService, open_deferred

__all__ = [
    "DeferredPort",
    "DeferredService",
    "JobSubmission",
    "JobView",
    "open_deferred",
]
