"""HTTP API for operators."""

from .app import OperatorContext, OperatorRoute, build_operator

__all__ = ["OperatorContext", "OperatorRoute", "build_operator"]
