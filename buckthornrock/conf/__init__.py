"""Settings: their model, defaults, decoding and checks."""

from .checks import Problem, check_settings
from .loading import load_settings, parse_settings
from .settings import Settings

__all__ = [
    "Problem",
    "Settings",
    "check_settings",
    "load_settings",
    "parse_settings",
]
