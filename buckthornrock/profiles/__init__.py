"""Profile documents: structure, validation, version order and propagation."""

from .document import AccountLimits, Profile, Route, WorkClass
from .port import InstanceStatus, ProfilePort, ProfileRecord

__all__ = [
    "AccountLimits",
    "InstanceStatus",
    "Profile",
    "ProfilePort",
    "ProfileRecord",
    "Route",
    "WorkClass",
]
