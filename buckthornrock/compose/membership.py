"""Wires membership and the inner protocol."""

from collections.abc import Callable

from expression import Result

from ..membership import InstanceView, MembershipPort
from ..membership.port import single_instance_membership
from ..membership.service import (
    GOSSIP_DELAY_MS,
    IDLE_GOSSIP_PERIOD_MS,
    PROBE_PERIOD_MS,
    MembershipService,
    ReadList,
    open_membership,
)
from ..store.errors import ListUnavailable
from ..store.instance_list import ListedInstance, open_instance_list
from ..wire import Identity, PeerAddress, Transport, open_transport
from .core import Core, run_periodically


def build_membership(core: Core) -> MembershipPort:
    """Wire the view of the live instances."""
    settings = core.settings
    if settings.wire.port == 0:
        _poll_list(core, lambda read_list: read_list())
        return single_instance_membership(_view(core, ""))
    identity = Identity(settings.instance_id, core.incarnation)
    transport = open_transport(identity, settings.wire, core.telemetry)
    service = _build_service(core, transport)
    core.fleet_size.n_instances = service.n_known
    run_periodically(core, "membership.probe", service.probe, PROBE_PERIOD_MS)
    _start_gossip(core, service)
    _poll_list(core, service.read_list)
    core.closers.append(service.close)
    core.closers.append(transport.close)
    # Closers run last to first: the others hear of the departure before the end.
    core.closers.append(service.leave)
    return open_membership(service)


def _start_gossip(core: Core, service: MembershipService) -> None:
    """Send gossip a little after the first update, so that updates go together."""
    handle = run_periodically(
        core, "membership.news", service.send_gossip, IDLE_GOSSIP_PERIOD_MS
    )
    service.on_gossip_pending = lambda: core.timer.call_later(
        GOSSIP_DELAY_MS, handle.run_now
    )


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


def _poll_list(core: Core, take_turn: Callable[[ReadList], object]) -> None:
    """Read the list whenever ``take_turn`` asks for it, and tell the listeners."""
    section = core.settings.platform.instance_list
    if not section.url:
        return
    read_list = open_instance_list(section)

    def read() -> Result[tuple[ListedInstance, ...], ListUnavailable]:
        body = read_list()
        if body.is_ok():
            for listen in core.list_listeners:
                listen(body.ok)
        return body.map(lambda b: b.instances)

    run_periodically(
        core, "membership.list", lambda: take_turn(read), section.period_ms
    )


def _view(core: Core, address: str) -> InstanceView:
    settings = core.settings
    return InstanceView(
        instance_id=settings.instance_id,
        address=address,
        failure_domain=settings.failure_domain,
        region=settings.region,
        incarnation=core.incarnation,
    )
