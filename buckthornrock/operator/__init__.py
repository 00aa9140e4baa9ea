"""The operators' HTTP interface."""

from .app import OperatorParts, OperatorRoute, build_operator

__all__ = ["OperatorParts", "OperatorRoute", "build_operator"]
