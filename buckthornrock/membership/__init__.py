"""Which instances are live, and how to reach them."""

from .port import InstanceView, MembershipPort

__all__ = ["InstanceView", "MembershipPort"]
