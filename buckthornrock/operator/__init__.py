"""HTTP API for operators."""

from .app import OperatorContext, OperatorRoute, build_body_check, build_operator

__all__ = ["OperatorContext", "OperatorRoute", "build_body_check", "build_operator"]
