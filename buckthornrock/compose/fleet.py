"""Wires the upstreams: registry, clients and load polling."""

from typing import NamedTuple

from ..fleet import Fleet
from ..upstreams.engine_client import EngineClient
from ..upstreams.service_client import ServiceClient
from .core import Core, run_periodically


class FleetParts(NamedTuple):
    """The upstreams and the clients that call them."""

    fleet: Fleet
    engines: EngineClient
    services: ServiceClient


def build_fleet(core: Core) -> FleetParts:
    """Wire the registry of upstreams and poll their load."""
    section = core.settings.upstreams
    fleet = Fleet(section.servers, core.clock.now_ms)
    engines = EngineClient(section)
    run_periodically(
        core, "fleet.poll", lambda: fleet.poll(engines.load), section.poll_period_ms
    )
    return FleetParts(fleet, engines, ServiceClient(section, core.clock.now_ms))
