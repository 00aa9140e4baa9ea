"""Wires calls to plain services."""

from ..dispatch import ServiceDispatcher
from ..membership import MembershipPort
from ..profiles import ProfilePort
from .core import Core
from .fleet import FleetParts


def build_services(
    core: Core, fleet: FleetParts, profiles: ProfilePort, membership: MembershipPort
) -> ServiceDispatcher:
    """Wire the dispatcher of plain-service calls."""
    return ServiceDispatcher(fleet.fleet, fleet.services, core.rng)
