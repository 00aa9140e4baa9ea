"""Runs each call that carries an idempotency key at most once."""

from .port import IdempotencyPort, IssuedKey, KeyedRequest

__all__ = ["IdempotencyPort", "IssuedKey", "KeyedRequest"]
