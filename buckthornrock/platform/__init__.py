"""Adapter to the platform of the users: translates its protocols to product types.

Only the composition root may import this package.
"""
