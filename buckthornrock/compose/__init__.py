"""The composition root: wires every part of an instance from its settings.

Nothing else constructs parts. Each module wires one concern; :mod:`.instance`
joins them.
"""

from .instance import Instance, start_instance

__all__ = ["Instance", "start_instance"]
