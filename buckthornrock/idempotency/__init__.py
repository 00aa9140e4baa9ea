"""Calls that may not be repeated: claims, issued keys and outcomes."""
