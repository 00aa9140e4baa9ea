"""Membership: which instances are live, and messages to them."""

from .port import InstanceView, MembershipPort

__all__ = ["InstanceView", "MembershipPort"]
