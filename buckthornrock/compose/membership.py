"""Wires membership and the inner protocol."""

import os

from ..membership import InstanceView, MembershipPort
from ..membership.port import alone
from .core import Core


def build_membership(core: Core) -> MembershipPort:
    """Wire the view of the live instances."""
    settings = core.settings
    view = InstanceView(
        instance_id=settings.instance_id,
        address=f"{settings.wire.host}:{settings.wire.port}",
        failure_domain=settings.failure_domain,
        region=settings.region,
        incarnation=os.urandom(8).hex(),
    )
    return alone(view)
