"""HTTP interface for clients."""

from .app import EntryContext, build_entry_handler

__all__ = ["EntryContext", "build_entry_handler"]
