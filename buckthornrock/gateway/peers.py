"""Exchanges digests with the other instances."""

import asyncio
import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ..catalog.upstreams import Incarnation
from ..events import gateway as events
from ..scheduling.cached_parts import PartKey
from ..scheduling.loads import Work, WorkSum
from ..telemetry import Telemetry
from ..wire.digests import (
    Digest,
    LoadedWeights,
    LoadingEngine,
    PartReading,
    Scope,
    UpstreamWork,
    decode_digest,
    encode_digest,
)
from ..wire.numbers import incarnation_number
from .fleet_state import FleetState, Loading
from .gossip_queue import GossipQueue, News, Reading
from .peer_view import PeerView
from .relays import Contact, RelayTopology, digest_period_ms
from .resources import DigestTraffic
from .state_sync import PeerVersions

#: Shortest pause between a digest and one that can't wait for the next period.
URGENT_GAP_MS = 20.0
#: Addresses from the settings are asked for names this often, while this instance is
#: alone and afterwards.
LONELY_GREETING_PERIOD_MS = 1_000.0
GREETING_PERIOD_MS = 10_000.0
#: Names in the answer to a greeting, and at least in any other digest.
N_NAMES_FOR_GREETING = 24
MIN_NAMES = 2
#: Time in which an instance tells another all names.
NAMING_CYCLE_MS = 30_000.0
#: Upstreams in one digest, those with most requests first.
MAX_WORKS = 250


class PeerSettings(NamedTuple):
    """Who this instance is to the others, and whom it tries first."""

    instance_id: str
    failure_domain: str
    address: str
    seeds: tuple[str, ...]
    incarnation: int


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this instance's digest periodically and takes in those of others.

    Attributes
    ----------
    on_peer_ahead : callable
        Called with how far a peer's knowledge goes.
    traffic : DigestTraffic
        Digests sent and received so far.
    """

    def __init__(
        self,
        settings: PeerSettings,
        fleet_state: FleetState,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self.on_peer_ahead: Callable[[PeerVersions], None] = lambda _: None
        self.is_stopping = False
        self.traffic = DigestTraffic()
        self._settings = settings
        self._fleet_state = fleet_state
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._view = PeerView(settings.instance_id, settings.failure_domain)
        self._topology = RelayTopology(settings.instance_id, settings.failure_domain)
        self._transport: asyncio.DatagramTransport | None = None
        self._n_instances = 1
        self._number = 0
        self._sent_at_ms = -math.inf
        self._greeted_at_ms = -math.inf
        self._n_greetings = 0
        self._news = GossipQueue()
        self._news_of_relays = GossipQueue()
        fleet_state.listen(self._on_reading, self._on_loaded, self._send_urgent)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Note the socket."""
        self._transport = transport

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Try other addresses first from now on."""
        self._settings = self._settings._replace(seeds=seeds)

    def n_instances(self) -> int:
        """Return the number of instances, this one and silent ones included.

        Those that fell silent may only be cut off from this one, and run all the same.
        """
        return self._n_instances

    @property
    def relay(self) -> str:
        """Id of the relay that this instance follows, "" if it is one itself."""
        return self._topology.relay

    def period_ms(self) -> float:
        """Return the pause until the next digest."""
        return digest_period_ms(self._n_instances)

    async def run(self) -> None:
        """Send digests until cancelled."""
        while True:
            self.send()
            await asyncio.sleep(self.period_ms() / 1000.0)

    def send(self) -> None:
        """Send the digest now."""
        if self._transport is None:
            return
        now_ms = self._now_ms()
        self._sent_at_ms = now_ms
        members = self._view.members(now_ms)
        self._n_instances = len(members)
        self._topology.update(members, now_ms)
        self._fleet_state.loads.retain_peers(self._topology.sources())
        self._greet(now_ms)
        contacts = self._topology.contacts(now_ms)
        if not contacts:
            return
        loads, topology = self._fleet_state.loads, self._topology
        group = loads.sum_of(topology.followers(), now_ms)
        fleet = loads.sum_of(topology.sources(), now_ms)
        base = self._digest(now_ms)
        for_followers = self._digest_for_followers(base, now_ms)
        for contact in contacts:
            if contact.scope is Scope.OTHERS:
                covered = loads.without(fleet, contact.instance_id, now_ms)
                self._send_to(contact, for_followers, covered)
            else:
                self._send_to(contact, base, group)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take in a peer's digest."""
        self.traffic = self.traffic.with_received(len(data))
        decoded = decode_digest(data)
        if decoded.is_error():
            self._telemetry.log(
                events.UNDECODABLE, what="digest", reason=decoded.error.reason
            )
            return
        digest, now_ms = decoded.ok, self._now_ms()
        if self._view.accept(digest, now_ms):
            self._take_in(digest, now_ms)

    def error_received(self, error: Exception) -> None:
        """Ignore refused datagrams: a peer may be down; its silence shows it."""

    def _send_urgent(self) -> None:
        """Send what can't wait, unless a digest has just gone out."""
        if self._now_ms() - self._sent_at_ms >= URGENT_GAP_MS:
            self.send()

    def _greet(self, now_ms: float) -> None:
        """Ask an address from the settings who else there is."""
        is_alone = not self._topology.sources()
        period_ms = LONELY_GREETING_PERIOD_MS if is_alone else GREETING_PERIOD_MS
        seeds = [s for s in self._settings.seeds if s != self._settings.address]
        if not seeds or now_ms - self._greeted_at_ms < period_ms:
            return
        self._greeted_at_ms = now_ms
        self._n_greetings += 1
        digest = self._nobodys_digest(Scope.GREETING, MIN_NAMES, now_ms)
        self._transmit(digest, seeds[self._n_greetings % len(seeds)])

    def _send_to(self, contact: Contact, base: Digest, covered: WorkSum) -> None:
        address = self._view.address(contact.instance_id)
        if address is None:
            return
        digest = msgspec.structs.replace(
            base,
            scope=contact.scope,
            works=_encoded_works(covered.works),
            age_ms=round(covered.age_ms),
        )
        self._transmit(digest, address)

    def _transmit(self, digest: Digest, address: str) -> None:
        data = encode_digest(digest)
        host, _, port = address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))
        self.traffic = self.traffic.with_sent(len(data))

    def _take_in(self, digest: Digest, now_ms: float) -> None:
        self._topology.on_digest(digest.instance_id, digest.scope, digest.relay, now_ms)
        if digest.scope is Scope.GREETING:
            names = self._nobodys_digest(Scope.NAMES, N_NAMES_FOR_GREETING, now_ms)
            self._transmit(names, digest.address)
        elif digest.scope is Scope.GROUP and self._topology.relay:
            names = self._nobodys_digest(Scope.NAMES, MIN_NAMES, now_ms)
            names.peers += self._view.entries([self._topology.relay], now_ms)
            self._transmit(names, digest.address)
        self._take_in_works(digest, now_ms)
        for model, (version, age_ms) in digest.weights.items():
            self._fleet_state.on_weights(model, version, digest.instance_id, age_ms)
        self._take_in_news(digest, now_ms)
        self.on_peer_ahead(
            PeerVersions(digest.address, digest.configuration_version, digest.revision)
        )

    def _take_in_works(self, digest: Digest, now_ms: float) -> None:
        if digest.instance_id not in self._topology.sources():
            return
        works = {
            work.upstream: Work(work.n_requests, work.reading_ms, work.n_memory_tokens)
            for work in digest.works
        }
        loads = self._fleet_state.loads
        loads.on_digest(digest.instance_id, works, now_ms, digest.age_ms)

    def _take_in_news(self, digest: Digest, now_ms: float) -> None:
        """Take in what is said of upstreams that are known here, and pass it on."""
        fleet_state = self._fleet_state
        is_of_group = digest.scope is Scope.OWN
        for engine in digest.loading:
            if incarnation := fleet_state.incarnation(engine.upstream):
                until_ms = now_ms + engine.left_ms
                loading = Loading(engine.model, engine.version, until_ms, is_of_group)
                fleet_state.on_peer_loading(incarnation, loading)
        for loaded in digest.loaded:
            if incarnation := fleet_state.incarnation(loaded.upstream):
                fleet_state.on_peer_loaded(incarnation, loaded.model, loaded.version)
                self._pass_on(loaded, digest.scope, now_ms)
        for part in digest.readings:
            if incarnation := fleet_state.incarnation(part.upstream):
                ready_at_ms = now_ms + part.ready_in_ms
                fleet_state.on_peer_part_cached(
                    incarnation, part.part, part.n_tokens, part.ready_in_ms
                )
                reading = Reading(part.upstream, part.part, part.n_tokens, ready_at_ms)
                self._pass_on(reading, digest.scope, now_ms)

    def _pass_on(self, item: News, scope: Scope, now_ms: float) -> None:
        """Tell followers all that others tell, and relays what followers tell.

        Relays tell each other nothing that they have from one another, so that nothing
        goes round in circles.
        """
        if scope is Scope.OWN:
            self._news.add(item, now_ms)
        elif scope is Scope.GROUP:
            self._news_of_relays.add(item, now_ms)

    def _digest(self, now_ms: float) -> Digest:
        """Return a digest whose scope and works are still to be filled in."""
        n_names = math.ceil(self._n_instances * self.period_ms() / NAMING_CYCLE_MS)
        digest = self._nobodys_digest(Scope.NAMES, max(MIN_NAMES, n_names), now_ms)
        digest.loading = self._loading(now_ms, is_for_relays=True)
        digest.loaded, digest.readings = _encoded_news(self._news.tell(), now_ms)
        return digest

    def _digest_for_followers(self, base: Digest, now_ms: float) -> Digest:
        """Return ``base`` with what other relays told besides."""
        loaded, readings = _encoded_news(self._news_of_relays.tell(), now_ms)
        return msgspec.structs.replace(
            base,
            loading=self._loading(now_ms, is_for_relays=False),
            loaded=base.loaded + loaded,
            readings=base.readings + readings,
        )

    def _nobodys_digest(self, scope: Scope, n_names: int, now_ms: float) -> Digest:
        """Return a digest that covers no work."""
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
            configuration_version=self._fleet_state.configuration_version,
            revision=self._fleet_state.revision,
            weights=self._fleet_state.wanted_ages(),
            works=[],
            loading=[],
            loaded=[],
            readings=[],
            peers=self._view.named(n_names, now_ms),
            is_stopping=self.is_stopping,
        )

    def _loading(self, now_ms: float, is_for_relays: bool) -> list[LoadingEngine]:
        return [
            LoadingEngine(
                incarnation_number(*incarnation),
                loading.model,
                loading.version,
                round(loading.until_ms - now_ms),
            )
            for incarnation, loading in self._fleet_state.loading().items()
            if loading.is_of_group or not is_for_relays
        ]

    def _on_reading(
        self,
        incarnation: Incarnation,
        key: PartKey,
        n_tokens: int,
        ready_in_ms: float,
    ) -> None:
        number, now_ms = incarnation_number(*incarnation), self._now_ms()
        self._news.add(Reading(number, key, n_tokens, now_ms + ready_in_ms), now_ms)

    def _on_loaded(self, incarnation: Incarnation, model: str, version: int) -> None:
        loaded = LoadedWeights(incarnation_number(*incarnation), model, version)
        self._news.add(loaded, self._now_ms())


def _encoded_works(works: dict[int, Work]) -> list[UpstreamWork]:
    most = [item for item in works.items() if item[1].n_requests]
    if len(most) > MAX_WORKS:
        most = heapq.nlargest(MAX_WORKS, most, key=lambda item: item[1].n_requests)
    return [
        UpstreamWork(
            number, work.n_requests, round(work.reading_ms), work.n_memory_tokens
        )
        for number, work in most
    ]


def _encoded_news(
    news: list[News], now_ms: float
) -> tuple[list[LoadedWeights], list[PartReading]]:
    loaded = [item for item in news if isinstance(item, LoadedWeights)]
    readings = [
        PartReading(
            item.upstream,
            item.part,
            item.n_tokens,
            max(0, round(item.ready_at_ms - now_ms)),
        )
        for item in news
        if isinstance(item, Reading)
    ]
    return loaded, readings
