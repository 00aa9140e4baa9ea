"""Wires profiles and their refresh."""

from ..profiles import ProfilePort, open_profiles
from ..profiles.store import ProfileStore
from .core import Core, run_periodically

REFRESH_PERIOD_MS = 1_000


def build_profiles(core: Core) -> ProfilePort:
    """Wire the profile store to the key-value service."""
    store = ProfileStore(core.kv, core.settings.default_profile)
    run_periodically(core, "profiles.refresh", store.refresh, REFRESH_PERIOD_MS)
    return open_profiles(store)
