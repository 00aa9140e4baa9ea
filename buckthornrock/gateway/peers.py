"""Exchanges state digests with the other instances over UDP."""

import asyncio
import math
from collections.abc import Callable

import msgspec

from ..scheduling.loads import CombinedWork
from ..wire.digests import (
    Digest,
    QuotaCounters,
    Scope,
    UpstreamTimes,
    decode_digest,
    encode_digest,
)
from .account_quotas import AccountQuotas
from .crash_gossip import CrashGossip
from .digest_builder import MIN_PEERS_LISTED, DigestBuilder
from .digest_entries import encode_times, encode_works
from .digest_receiver import DigestReceiver
from .fleet_state import FleetState
from .peer_discovery import PeerDiscovery
from .peer_settings import PeerSettings
from .peer_view import PeerView
from .relays import MAX_DIRECT_FLEET, Contact, RelayTopology, digest_period_ms
from .resources import DigestTraffic
from .state_sync import PeerVersions
from .store_watch import (
    MIN_WATCHERS,
    FailingWatchers,
    WatchInputs,
    is_planned_watcher,
)
from .upstream_gossip import UpstreamGossip

#: Minimum interval between the last digest and one sent ahead of the next period.
MIN_URGENT_INTERVAL_MS = 20.0
#: Period of listing prefill times, which change slowly.
TIMES_PERIOD_MS = 1_000.0
#: Peers listed in the response to a discovery request.
N_PEERS_FOR_DISCOVERY = 24

#: ``call_later(delay_ms, call)`` makes a call later, unless the timer is cancelled.
CallLater = Callable[[float, Callable[[], None]], asyncio.TimerHandle]


def call_later_on_loop(
    delay_ms: float, call: Callable[[], None]
) -> asyncio.TimerHandle:
    """Make a call later on the running event loop."""
    return asyncio.get_running_loop().call_later(delay_ms / 1000.0, call)


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this instance's digest periodically and applies those of peers.

    Attributes
    ----------
    on_peer_versions : callable
        Called with the versions that a peer's digest carries, newer or not.
    traffic : DigestTraffic
        Digests sent and received since the start.
    """

    def __init__(
        self,
        settings: PeerSettings,
        fleet_state: FleetState,
        now_ms: Callable[[], float],
        call_later: CallLater = call_later_on_loop,
        quotas: AccountQuotas | None = None,
    ) -> None:
        self.on_peer_versions: Callable[[PeerVersions], None] = lambda _: None
        self.traffic = DigestTraffic()
        self._instance_id = settings.instance_id
        self._fleet_state = fleet_state
        self._now_ms = now_ms
        self._call_later = call_later
        self._urgent_timer: asyncio.TimerHandle | None = None
        self._quotas = quotas
        self._view = PeerView(settings.instance_id, settings.failure_domain)
        self._topology = RelayTopology(settings.instance_id, settings.failure_domain)
        self._transport: asyncio.DatagramTransport | None = None
        self._n_instances = 1
        self._sent_at_ms = -math.inf
        self._times_sent_at_ms = -math.inf
        self._discovery = PeerDiscovery(settings.address, settings.seeds)
        self._failing_watchers = FailingWatchers()
        self._crash_gossip = CrashGossip(
            fleet_state.crash_findings, now_ms, self._send_urgent
        )
        upstream_gossip = UpstreamGossip(fleet_state, now_ms, self._send_urgent)
        self._builder = DigestBuilder(
            settings,
            fleet_state,
            self._view,
            self._topology,
            upstream_gossip,
            self._crash_gossip,
        )
        self._receiver = DigestReceiver(
            fleet_state,
            self._topology,
            upstream_gossip,
            self._crash_gossip,
            self._failing_watchers,
            quotas,
        )

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket to send digests on."""
        self._transport = transport

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seed addresses for peer discovery from now on."""
        self._discovery.seeds = seeds

    def announce_stop(self) -> None:
        """Tell peers from the next digest on that this instance stops."""
        self._builder.is_stopping = True

    def n_instances(self) -> int:
        """Return the number of known instances, this one and silent ones included.

        A silent instance may be running on the other side of a network partition. It
        counts until it expires from the membership view.
        """
        return self._n_instances

    @property
    def relay(self) -> str:
        """Id of the relay that this instance follows, "" if it is a relay itself."""
        return self._topology.relay

    def watch_inputs(self) -> WatchInputs:
        """Return what decides whether this instance watches the store."""
        topology = self._topology
        is_planned = is_planned_watcher(
            self._instance_id,
            topology.relays_by_domain(),
            self._failing_watchers.names(self._now_ms()),
        )
        return WatchInputs(
            is_planned=is_planned or self._n_instances <= MAX_DIRECT_FLEET,
            is_relay=not topology.relay,
            is_isolated=topology.is_isolated(),
            confirmation_age_ms=self._fleet_state.store_contact.age_ms(),
            failure_age_ms=self._fleet_state.store_contact.failure_age_ms(),
            n_instances=self._n_instances,
        )

    def n_store_watchers(self) -> int:
        """Return about how many instances watch the store."""
        if self._n_instances <= MAX_DIRECT_FLEET:
            return self._n_instances
        return max(MIN_WATCHERS, len(self._topology.relays_by_domain()))

    def period_ms(self) -> float:
        """Return the time until the next digest."""
        return digest_period_ms(self._n_instances)

    async def run(self) -> None:
        """Send digests until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(self.period_ms() / 1000.0)

    def send(self) -> None:
        """Send this instance's digest to all its contacts now."""
        if self._transport is None:
            return
        self._cancel_urgent()
        now_ms = self._now_ms()
        self._sent_at_ms = now_ms
        members = self._view.members(now_ms)
        self._n_instances = len(members)
        self._topology.update(members, now_ms)
        self._fleet_state.loads.retain_peers(self._topology.sources())
        if self._quotas is not None:
            self._quotas.on_period(
                self._n_instances, self.period_ms(), self._topology.sources()
            )
        self._discover_peers(now_ms)
        contacts = self._topology.contacts(now_ms)
        if not contacts:
            return
        loads, topology = self._fleet_state.loads, self._topology
        group = loads.combined_work(topology.followers(), now_ms)
        fleet = loads.combined_work(topology.sources(), now_ms)
        base = self._builder.base(self._n_instances, self.period_ms(), now_ms)
        for_followers = self._builder.for_followers(base, now_ms)
        times_for = self._prefill_times(now_ms)
        for contact in contacts:
            times = times_for(contact)
            if contact.scope is Scope.OTHERS:
                covered = loads.excluding_peer(fleet, contact.instance_id, now_ms)
                self._send_to(contact, for_followers, covered, times)
            else:
                self._send_to(contact, base, group, times)

    def _prefill_times(self, now_ms: float) -> Callable[[Contact], list[UpstreamTimes]]:
        """Return what a digest to a contact lists: nothing unless times are due."""
        if now_ms - self._times_sent_at_ms < TIMES_PERIOD_MS:
            return lambda contact: []
        self._times_sent_at_ms = now_ms
        times, topology = self._fleet_state.loads.times, self._topology
        group = times.combined(topology.followers(), now_ms)
        fleet = times.combined(topology.sources(), now_ms)

        def times_for(contact: Contact) -> list[UpstreamTimes]:
            if contact.scope is not Scope.OTHERS:
                return encode_times(group)
            peer = contact.instance_id
            return encode_times(times.excluding_peer(fleet, peer, now_ms))

        return times_for

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a peer's digest and apply it, unless it is outdated."""
        self.traffic = self.traffic.with_received(len(data))
        decoded = decode_digest(data)
        if decoded.is_error():
            self._fleet_state.log_undecodable("digest", decoded.error.reason)
            return
        digest, now_ms = decoded.ok, self._now_ms()
        if self._view.accept(digest, now_ms):
            self._process(digest, now_ms)

    def error_received(self, error: Exception) -> None:
        """Ignore refused datagrams; a peer that is down is detected by its silence."""

    def _send_urgent(self) -> None:
        """Send a digest ahead of the period, or once the interval has passed.

        Calls within the interval share one digest. If it were dropped, peers wouldn't
        know of a long prompt for up to a period.
        """
        if self._transport is None or self._urgent_timer is not None:
            return
        left_ms = self._sent_at_ms + MIN_URGENT_INTERVAL_MS - self._now_ms()
        if left_ms <= 0.0:
            self.send()
            return
        self._urgent_timer = self._call_later(left_ms, self.send)

    def _cancel_urgent(self) -> None:
        if self._urgent_timer is not None:
            self._urgent_timer.cancel()
            self._urgent_timer = None

    def _discover_peers(self, now_ms: float) -> None:
        """Ask the next seed address for the instances that it knows, when due."""
        seed = self._discovery.next_seed(not self._topology.sources(), now_ms)
        if seed is not None:
            digest = self._builder.empty(Scope.PEER_REQUEST, MIN_PEERS_LISTED, now_ms)
            self._transmit(digest, seed)

    def _send_to(
        self,
        contact: Contact,
        base: Digest,
        covered: CombinedWork,
        times: list[UpstreamTimes],
    ) -> None:
        address = self._view.address(contact.instance_id)
        if address is None:
            return
        digest = msgspec.structs.replace(
            base,
            scope=contact.scope,
            works=encode_works(covered.works),
            prefill_times=times,
            age_ms=round(covered.age_ms),
            quota=self._quota_counters(contact),
        )
        self._transmit(digest, address)

    def _quota_counters(self, contact: Contact) -> QuotaCounters | None:
        if self._quotas is None:
            return None
        if contact.scope is Scope.OTHERS:
            return self._quotas.counters_for(contact.instance_id)
        return self._quotas.group_counters(self._topology.followers())

    def _transmit(self, digest: Digest, address: str) -> None:
        data = encode_digest(digest)
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
        self.traffic = self.traffic.with_sent(len(data))

    def _process(self, digest: Digest, now_ms: float) -> None:
        self._topology.on_digest(digest.instance_id, digest.scope, digest.relay, now_ms)
        if digest.scope is Scope.PEER_REQUEST:
            peer_list = self._builder.empty(
                Scope.PEER_LIST, N_PEERS_FOR_DISCOVERY, now_ms
            )
            self._transmit(peer_list, digest.address)
        elif digest.scope is Scope.GROUP and self._topology.relay:
            peer_list = self._builder.empty(Scope.PEER_LIST, MIN_PEERS_LISTED, now_ms)
            peer_list.peers += self._view.entries_of([self._topology.relay], now_ms)
            self._transmit(peer_list, digest.address)
        self._receiver.apply(digest, now_ms)
        self.on_peer_versions(
            PeerVersions(digest.address, digest.configuration_version, digest.revision)
        )
