"""Wires the upstreams: registry and clients."""

from typing import NamedTuple

from ..fleet import Fleet
from ..store.instance_list import InstanceList
from ..upstreams.engine_client import EngineClient
from ..upstreams.engine_control_client import EngineControlClient
from ..upstreams.relay import Relay
from ..upstreams.service_client import ServiceClient
from .core import Core


class FleetParts(NamedTuple):
    """The upstreams and the clients that call them."""

    fleet: Fleet
    engines: EngineClient
    services: ServiceClient
    control: EngineControlClient
    relay: Relay


def build_fleet(core: Core) -> FleetParts:
    """Wire the registry of upstreams and the clients."""
    section = core.settings.upstreams
    fleet = Fleet(section.servers, core.clock.now_ms, core.telemetry.log, core.rng)
    core.list_listeners.append(lambda body: _note_list(fleet, body))
    return FleetParts(
        fleet,
        EngineClient(section),
        ServiceClient(section, core.clock.now_ms),
        EngineControlClient(),
        Relay(
            core.clock.now_ms,
            section.stall_timeout_ms,
            core.settings.entry.read_timeout_ms,
        ),
    )


def _note_list(fleet: Fleet, body: InstanceList) -> None:
    for listed in body.upstreams:
        fleet.set_leaving(listed.id, listed.state != "live", "list")
