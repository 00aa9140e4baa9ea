"""The callers' HTTP interface."""

from .app import EntryParts, build_entry

__all__ = ["EntryParts", "build_entry"]
