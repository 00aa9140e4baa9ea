"""Settings that all tests share."""

from hypothesis import settings

# The same examples every run, so that a verdict never depends on luck.
settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
