"""Profile documents: their shape, checks, version order and propagation."""

from .document import AccountLimits, Profile, Route, WorkClass
from .port import ProfilePort, ProfileRecord
from .store import open_profiles

__all__ = [
    "AccountLimits",
    "Profile",
    "ProfilePort",
    "ProfileRecord",
    "Route",
    "WorkClass",
    "open_profiles",
]
