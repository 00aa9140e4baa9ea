"""HTTP interface for callers: completions, deferred jobs, plain services."""

from .app import EntryContext, build_body_check, build_entry_handler

__all__ = ["EntryContext", "build_body_check", "build_entry_handler"]
