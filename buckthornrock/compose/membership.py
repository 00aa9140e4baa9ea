"""Wires membership and the inner protocol."""

from ..membership import InstanceView, MembershipPort
from ..membership.port import alone
from ..membership.service import (
    NEWS_PERIOD_MS,
    PROBE_PERIOD_MS,
    MembershipService,
    open_membership,
)
from ..platform.instance_list import open_instance_list
from ..wire import Identity, PeerAddress, Transport, open_transport
from .core import Core, run_periodically


def build_membership(core: Core) -> MembershipPort:
    """Wire the view of the live instances."""
    settings = core.settings
    if settings.wire.port == 0:
        return alone(_view(core, ""))
    identity = Identity(settings.instance_id, core.incarnation)
    transport = open_transport(identity, settings.wire, core.telemetry)
    service = _build_service(core, transport)
    core.fleet_size.n_instances = service.n_known
    run_periodically(core, "membership.probe", service.probe, PROBE_PERIOD_MS)
    run_periodically(core, "membership.news", service.spread_news, NEWS_PERIOD_MS)
    _poll_list(core, service)
    core.closers.append(service.close)
    core.closers.append(transport.close)
    return open_membership(service)


def _build_service(core: Core, transport: Transport) -> MembershipService:
    section = core.settings.wire
    return MembershipService(
        view=_view(core, transport.address),
        transport=transport,
        seeds=[PeerAddress(peer.id, peer.address) for peer in section.peers],
        probe_timeout_ms=section.timeout_ms,
        telemetry=core.telemetry,
        clock=core.clock,
        rng=core.rng,
    )


def _poll_list(core: Core, service: MembershipService) -> None:
    section = core.settings.platform.instance_list
    if not section.url:
        return
    read_list = open_instance_list(section)

    def step() -> None:
        service.read_list(lambda: read_list().map(lambda body: body.instances))

    run_periodically(core, "membership.list", step, section.period_ms)


def _view(core: Core, address: str) -> InstanceView:
    settings = core.settings
    return InstanceView(
        instance_id=settings.instance_id,
        address=address,
        failure_domain=settings.failure_domain,
        region=settings.region,
        incarnation=core.incarnation,
    )
