"""Takes requests through admission, routing and attempts to a response."""

from .caller import Caller
from .completions import CompletionDispatcher
from .requests import (
    CompletionDone,
    CompletionRequest,
    CompletionSink,
    ServiceRequest,
)
from .services import ServiceDispatcher

__all__ = [
    "Caller",
    "CompletionDispatcher",
    "CompletionDone",
    "CompletionRequest",
    "CompletionSink",
    "ServiceDispatcher",
    "ServiceRequest",
]
