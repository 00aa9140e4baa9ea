"""Calls with an idempotency key run at most once."""

from .port import IdempotencyPort, IssuedKey, KeyedRequest

__all__ = ["IdempotencyPort", "IssuedKey", "KeyedRequest"]
