"""The composition root: wires every part of an instance from its settings.

Nothing else constructs parts. Each module wires one concern; :mod:`.instance` joins
those of the product's own interface, :mod:`.gateway` those of the users' platform. A
process loads one of the two only.
"""
