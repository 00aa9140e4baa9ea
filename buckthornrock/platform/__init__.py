"""Adapter to the users' platform: decodes what it says into the product's types.

Only the composition root imports this package.
"""
