"""Exchanges state digests with the other instances over UDP."""

import asyncio
import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..catalog.change_log import ChangeWindow
from ..catalog.upstreams import Incarnation, Upstream, UpstreamChange
from ..scheduling.cached_parts import PartKey
from ..scheduling.loads import CombinedWork, Work
from ..scheduling.prefill_speed import PrefillTimes
from ..telemetry import Telemetry
from ..wire.digests import (
    CachedPartReport,
    Digest,
    EntryChange,
    LoadedWeights,
    LoadingEngine,
    QuotaCounters,
    Scope,
    StoreCalls,
    UpstreamEntry,
    UpstreamTimes,
    UpstreamWork,
    decode_digest,
    encode_digest,
)
from ..wire.numeric_ids import incarnation_number
from .account_quotas import AccountQuotas
from .crash_gossip import CrashGossip
from .fleet_state import FleetState
from .gossip_queue import GossipQueue, LeavingUpdate, PartUpdate, Update
from .peer_view import PeerView
from .relays import MAX_DIRECT_FLEET, Contact, RelayTopology, digest_period_ms
from .resources import DigestTraffic
from .state_sync import PeerVersions
from .store_contact import LOST_AFTER_MS
from .store_watch import MIN_WATCHERS, WatchInputs, is_planned_watcher
from .weights_loads import Loading

#: Minimum interval between the last digest and one sent ahead of the next period.
MIN_URGENT_INTERVAL_MS = 20.0
#: Period of listing prefill times, which change slowly.
TIMES_PERIOD_MS = 1_000.0
#: Period at which a seed address is asked for its known instances: while this instance
#: receives no digests, and afterwards.
ISOLATED_DISCOVERY_PERIOD_MS = 1_000.0
DISCOVERY_PERIOD_MS = 10_000.0
#: Peers listed in the response to a discovery request, and minimum in other digests.
N_PEERS_FOR_DISCOVERY = 24
MIN_PEERS_LISTED = 2
#: Time within which an instance lists every known peer to each recipient.
PEER_LISTING_CYCLE_MS = 30_000.0
#: Maximum number of upstreams in one digest; those with most requests are kept.
MAX_WORK_ENTRIES = 250
#: Periods for which digests list a change of an upstream's entry, and the most changes
#: in one digest. A peer that misses more pulls a copy.
N_CHANGE_PERIODS = 3
MAX_CHANGES_LISTED = 20
#: A watcher that reported failing calls counts as failing for this long.
FAILING_LIFETIME_MS = 3_000.0


#: ``call_later(delay_ms, call)`` makes a call later, unless the timer is cancelled.
CallLater = Callable[[float, Callable[[], None]], asyncio.TimerHandle]


class PeerSettings(NamedTuple):
    """Identity of this instance, and the seed addresses for peer discovery."""

    instance_id: str
    failure_domain: str
    address: str
    seeds: tuple[str, ...]
    incarnation: int


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
        telemetry: Telemetry,
        call_later: CallLater = call_later_on_loop,
        quotas: AccountQuotas | None = None,
    ) -> None:
        self.on_peer_versions: Callable[[PeerVersions], None] = lambda _: None
        self.is_stopping = False
        self.traffic = DigestTraffic()
        self._settings = settings
        self._fleet_state = fleet_state
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._call_later = call_later
        self._urgent_timer: asyncio.TimerHandle | None = None
        self._quotas = quotas
        self._view = PeerView(settings.instance_id, settings.failure_domain)
        self._topology = RelayTopology(settings.instance_id, settings.failure_domain)
        self._transport: asyncio.DatagramTransport | None = None
        self._n_instances = 1
        self._number = 0
        self._sent_at_ms = -math.inf
        self._times_sent_at_ms = -math.inf
        self._discovery_sent_at_ms = -math.inf
        self._n_discoveries = 0
        self._updates = GossipQueue()
        self._relay_updates = GossipQueue()
        self._failing_since_ms: dict[str, float] = {}
        self._crash_gossip = CrashGossip(
            fleet_state.crash_findings, now_ms, self._send_urgent
        )
        fleet_state.set_observers(
            self._on_part_cached,
            self._on_loaded,
            self._on_leaving,
            self._send_urgent,
        )

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket to send digests on."""
        self._transport = transport

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seed addresses for peer discovery from now on."""
        self._settings = self._settings._replace(seeds=seeds)

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
            self._settings.instance_id,
            topology.relays_by_domain(),
            self._failing_watchers(self._now_ms()),
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

    def _failing_watchers(self, now_ms: float) -> set[str]:
        return {
            instance_id
            for instance_id, since_ms in self._failing_since_ms.items()
            if now_ms - since_ms < FAILING_LIFETIME_MS
        }

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
        base = self._digest(now_ms)
        for_followers = self._digest_for_followers(base, now_ms)
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
                return _encode_times(group)
            peer = contact.instance_id
            return _encode_times(times.excluding_peer(fleet, peer, now_ms))

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
        is_alone = not self._topology.sources()
        period_ms = ISOLATED_DISCOVERY_PERIOD_MS if is_alone else DISCOVERY_PERIOD_MS
        seeds = [s for s in self._settings.seeds if s != self._settings.address]
        if not seeds or now_ms - self._discovery_sent_at_ms < period_ms:
            return
        self._discovery_sent_at_ms = now_ms
        self._n_discoveries += 1
        digest = self._empty_digest(Scope.PEER_REQUEST, MIN_PEERS_LISTED, now_ms)
        self._transmit(digest, seeds[self._n_discoveries % len(seeds)])

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
            works=_encode_works(covered.works),
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
            peer_list = self._empty_digest(
                Scope.PEER_LIST, N_PEERS_FOR_DISCOVERY, now_ms
            )
            self._transmit(peer_list, digest.address)
        elif digest.scope is Scope.GROUP and self._topology.relay:
            peer_list = self._empty_digest(Scope.PEER_LIST, MIN_PEERS_LISTED, now_ms)
            peer_list.peers += self._view.entries_of([self._topology.relay], now_ms)
            self._transmit(peer_list, digest.address)
        self._apply_works(digest, now_ms)
        self._apply_quota(digest)
        self._fleet_state.wanted_versions.on_ages(
            digest.weights, digest.older_weights, digest.instance_id
        )
        self._fleet_state.configuration.on_removed_isolated_accounts(
            digest.removed_isolated_accounts, digest.instance_id
        )
        self._apply_updates(digest, now_ms)
        self._crash_gossip.apply(digest)
        self._follow(digest, now_ms)
        self.on_peer_versions(
            PeerVersions(digest.address, digest.configuration_version, digest.revision)
        )

    def _follow(self, digest: Digest, now_ms: float) -> None:
        """Apply the changes of upstreams, and how long ago the store confirmed them."""
        if digest.store_calls is StoreCalls.FAILING:
            self._failing_since_ms[digest.instance_id] = now_ms
        else:
            self._failing_since_ms.pop(digest.instance_id, None)
        fleet_state = self._fleet_state
        if digest.configuration_version > fleet_state.configuration.version:
            # The state at the digest's revision is only complete with that version.
            return
        is_listed = digest.base_revision >= 0
        base_revision = digest.base_revision if is_listed else digest.revision
        changes = tuple(self._decode_change(change) for change in digest.changes)
        window = ChangeWindow(base_revision, changes)
        is_confirmed = 0 <= digest.store_age_ms <= LOST_AFTER_MS
        if fleet_state.upstreams.follow(window, digest.revision) and is_confirmed:
            fleet_state.store_contact.on_confirmed(digest.store_age_ms)

    def _decode_change(self, change: EntryChange) -> UpstreamChange:
        """Return a peer's change; an odd entry, like none, names no upstream."""
        entry = change.entry
        upstream = None if entry is None else Upstream(*msgspec.structs.astuple(entry))
        if upstream is not None and not self._fleet_state.upstreams.is_usable(upstream):
            upstream = None
        return UpstreamChange(change.revision, change.upstream_id, upstream)

    def _apply_works(self, digest: Digest, now_ms: float) -> None:
        if digest.instance_id not in self._topology.sources():
            return
        works = {
            work.upstream: Work(work.n_requests, work.prefill_ms, work.n_memory_tokens)
            for work in digest.works
        }
        loads = self._fleet_state.loads
        loads.on_digest(digest.instance_id, works, now_ms, digest.age_ms)
        if digest.prefill_times:
            times = {
                reported.upstream: PrefillTimes(
                    reported.expected_ms, reported.observed_ms
                )
                for reported in digest.prefill_times
            }
            loads.times.on_report(digest.instance_id, times, now_ms)

    def _apply_quota(self, digest: Digest) -> None:
        is_source = digest.instance_id in self._topology.sources()
        if self._quotas is None or digest.quota is None or not is_source:
            return
        self._quotas.on_counters(
            digest.instance_id, digest.incarnation, digest.scope, digest.quota
        )

    def _apply_updates(self, digest: Digest, now_ms: float) -> None:
        """Apply and forward reports on the upstreams that this instance knows."""
        fleet_state = self._fleet_state
        is_from_group = digest.scope is Scope.OWN
        for engine in digest.loading:
            if incarnation := fleet_state.incarnations.get(engine.upstream):
                until_ms = now_ms + engine.left_ms
                loading = Loading(engine.model, engine.version, until_ms, is_from_group)
                fleet_state.weights_loads.on_peer_loading(incarnation, loading)
        for loaded in digest.loaded:
            if incarnation := fleet_state.incarnations.get(loaded.upstream):
                fleet_state.weights_loads.on_peer_loaded(
                    incarnation, loaded.model, loaded.version
                )
                self._forward(loaded, digest.scope, now_ms)
        for number in digest.leaving:
            if incarnation := fleet_state.incarnations.get(number):
                fleet_state.notices.on_peer_leaving(incarnation, digest.instance_id)
                self._forward(LeavingUpdate(number), digest.scope, now_ms)
        for part in digest.cached_parts:
            if incarnation := fleet_state.incarnations.get(part.upstream):
                ready_at_ms = now_ms + part.ready_in_ms
                fleet_state.cached_parts.on_peer_part_cached(
                    incarnation, part.part, part.n_tokens, part.ready_in_ms
                )
                update = PartUpdate(
                    part.upstream, part.part, part.n_tokens, ready_at_ms
                )
                self._forward(update, digest.scope, now_ms)

    def _forward(self, item: Update, scope: Scope, now_ms: float) -> None:
        """Forward a follower's update to all contacts, a relay's to followers only.

        Updates from other relays are not sent to relays again, so that no update loops.
        """
        if scope is Scope.OWN:
            self._updates.add(item, now_ms)
        elif scope is Scope.GROUP:
            self._relay_updates.add(item, now_ms)

    def _digest(self, now_ms: float) -> Digest:
        """Return a digest without scope and works, which ``_send_to`` fills in."""
        n_peers = math.ceil(
            self._n_instances * self.period_ms() / PEER_LISTING_CYCLE_MS
        )
        digest = self._empty_digest(
            Scope.PEER_LIST, max(MIN_PEERS_LISTED, n_peers), now_ms
        )
        window = self._fleet_state.upstreams.recent_changes(
            N_CHANGE_PERIODS * self.period_ms(), MAX_CHANGES_LISTED
        )
        digest.base_revision = window.base_revision
        digest.changes = [_encode_change(change) for change in window.changes]
        digest.loading = self._loading(now_ms, is_for_relays=True)
        updates = self._updates.next_batch()
        digest.loaded, digest.cached_parts = _encode_updates(updates, now_ms)
        digest.leaving = _leaving(updates)
        self._crash_gossip.fill(digest)
        return digest

    def _digest_for_followers(self, base: Digest, now_ms: float) -> Digest:
        """Return ``base`` plus the updates and weights loads from other relays."""
        updates = self._relay_updates.next_batch()
        loaded, parts = _encode_updates(updates, now_ms)
        digest = msgspec.structs.replace(
            base,
            loading=self._loading(now_ms, is_for_relays=False),
            loaded=base.loaded + loaded,
            cached_parts=base.cached_parts + parts,
            leaving=base.leaving + _leaving(updates),
        )
        self._crash_gossip.fill_for_followers(digest)
        return digest

    def _empty_digest(self, scope: Scope, n_peers: int, now_ms: float) -> Digest:
        """Return a digest that reports no work, weights loads or updates."""
        self._number += 1
        return Digest(
            instance_id=self._settings.instance_id,
            address=self._settings.address,
            failure_domain=self._settings.failure_domain,
            incarnation=self._settings.incarnation,
            number=self._number,
            scope=scope,
            relay=self._topology.relay,
            age_ms=0,
            configuration_version=self._fleet_state.configuration.version,
            revision=self._fleet_state.upstreams.revision,
            weights=self._fleet_state.wanted_versions.ages(),
            works=[],
            loading=[],
            loaded=[],
            cached_parts=[],
            peers=self._view.next_peers(n_peers, now_ms),
            is_stopping=self.is_stopping,
            store_age_ms=self._fleet_state.store_contact.rounded_age_ms(),
            store_calls=self._store_calls(),
            older_weights=self._fleet_state.wanted_versions.older_ages(),
            removed_isolated_accounts=list(
                self._fleet_state.configuration.removed_isolated_accounts
            ),
        )

    def _store_calls(self) -> StoreCalls:
        if not self._fleet_state.is_watching_store:
            return StoreCalls.NONE
        is_failing = self._fleet_state.store_contact.is_failing
        return StoreCalls.FAILING if is_failing else StoreCalls.ANSWERED

    def _loading(self, now_ms: float, is_for_relays: bool) -> list[LoadingEngine]:
        loading_by_engine = self._fleet_state.weights_loads.loading()
        return [
            LoadingEngine(
                incarnation_number(*incarnation),
                loading.model,
                loading.version,
                round(loading.until_ms - now_ms),
            )
            for incarnation, loading in loading_by_engine.items()
            if loading.is_from_group or not is_for_relays
        ]

    def _on_part_cached(
        self,
        incarnation: Incarnation,
        key: PartKey,
        n_tokens: int,
        ready_in_ms: float,
    ) -> None:
        number, now_ms = incarnation_number(*incarnation), self._now_ms()
        self._updates.add(
            PartUpdate(number, key, n_tokens, now_ms + ready_in_ms), now_ms
        )

    def _on_loaded(self, incarnation: Incarnation, model: str, version: int) -> None:
        loaded = LoadedWeights(incarnation_number(*incarnation), model, version)
        self._updates.add(loaded, self._now_ms())

    def _on_leaving(self, incarnation: Incarnation) -> None:
        update = LeavingUpdate(incarnation_number(*incarnation))
        self._updates.add(update, self._now_ms())


def _leaving(updates: list[Update]) -> list[int]:
    return [item.upstream for item in updates if isinstance(item, LeavingUpdate)]


def _encode_change(change: UpstreamChange) -> EntryChange:
    entry = None if change.upstream is None else UpstreamEntry(*change.upstream)
    return EntryChange(change.revision, change.upstream_id, entry)


def _encode_works(works: dict[int, Work]) -> list[UpstreamWork]:
    busy = [item for item in works.items() if item[1].n_requests]
    if len(busy) > MAX_WORK_ENTRIES:
        busy = heapq.nlargest(
            MAX_WORK_ENTRIES, busy, key=lambda item: item[1].n_requests
        )
    return [
        UpstreamWork(
            number, work.n_requests, round(work.prefill_ms), work.n_memory_tokens
        )
        for number, work in busy
    ]


def _encode_times(times: dict[int, PrefillTimes]) -> list[UpstreamTimes]:
    encoded = [
        UpstreamTimes(number, *(round(time_ms) for time_ms in sums))
        for number, sums in times.items()
    ]
    return heapq.nlargest(MAX_WORK_ENTRIES, encoded, key=lambda x: x.expected_ms)


def _encode_updates(
    updates: list[Update], now_ms: float
) -> tuple[list[LoadedWeights], list[CachedPartReport]]:
    loaded = [item for item in updates if isinstance(item, LoadedWeights)]
    parts = [
        CachedPartReport(
            item.upstream,
            item.part,
            item.n_tokens,
            max(0, round(item.ready_at_ms - now_ms)),
        )
        for item in updates
        if isinstance(item, PartUpdate)
    ]
    return loaded, parts
