"""Simulates a fleet's digest exchange over links of limited bandwidth."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable, Mapping

from buckthornrock.admission.fleet_quota import FleetQuota
from buckthornrock.admission.quota_limits import AccountLimit, QuotaBound
from buckthornrock.catalog.configuration import (
    ClientAccount,
    ClientLimits,
    Configuration,
    EngineSpec,
    Service,
)
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.gateway.account_quotas import AccountQuotas
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.peer_settings import PeerSettings
from buckthornrock.gateway.peers import PeerExchange
from buckthornrock.gateway.relays import MIN_PERIOD_MS
from buckthornrock.gateway.state_sync import STORE_HEAD_START_MS, PeerVersions
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.telemetry import Telemetry, open_log, open_metrics

TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))
#: Size of the headers that are added to each packet: IP and UDP, or IP and TCP.
HEADER_BYTES = 28
SEGMENT_BYTES = 1_460
LATENCY_MS = 0.5
#: Maximum queueing delay of a link; packets beyond it are dropped.
MAX_QUEUE_MS = 100.0
#: Retransmission timeout of a lost segment; it doubles with each retry.
INITIAL_RETRANSMIT_MS = 200.0
N_SEEDS = 3
QUOTA_BOUND = QuotaBound(8_000.0, 0.1, 190_000.0)


class SimulatedTimer:
    """A call that is due later and can be cancelled."""

    def __init__(self, call: Callable[[], None]) -> None:
        self._call = call
        self._is_cancelled = False

    def cancel(self) -> None:
        """Don't make the call."""
        self._is_cancelled = True

    def run(self) -> None:
        """Make the call, unless it was cancelled."""
        if not self._is_cancelled:
            self._call()


class SimulatedTimers:
    """A simulated clock and the calls that are due later."""

    def __init__(self, now_ms: float) -> None:
        self._now_ms = now_ms
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable, tuple]] = []

    def now_ms(self) -> float:
        return self._now_ms

    def n_due(self) -> int:
        """Return the number of calls that are due later."""
        return len(self._due)

    def at(self, at_ms: float, call: Callable, *arguments) -> None:
        """Schedule a call at a time."""
        heapq.heappush(self._due, (at_ms, next(self._order), call, arguments))

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> SimulatedTimer:
        """Schedule a call after a delay; the returned timer can be cancelled."""
        timer = SimulatedTimer(call)
        self.at(self._now_ms + delay_ms, timer.run)
        return timer

    def run(self, duration_ms: float) -> None:
        """Advance the clock and run the calls that fall due."""
        end_ms = self._now_ms + duration_ms
        while self._due and self._due[0][0] <= end_ms:
            self._now_ms, _, call, arguments = heapq.heappop(self._due)
            call(*arguments)
        self._now_ms = end_ms


class Link:
    """One direction of a machine's network link: a queue of limited length."""

    def __init__(self, mbps: float | None) -> None:
        self._bytes_per_ms = None if mbps is None else mbps * 125.0
        self._idle_at_ms = 0.0
        self.n_bytes = 0

    def transmit(self, n_bytes: int, now_ms: float) -> float | None:
        """Queue a packet; return when it is transmitted, or None if it is dropped."""
        self.n_bytes += n_bytes
        if self._bytes_per_ms is None:
            return now_ms
        starts_at_ms = max(now_ms, self._idle_at_ms)
        if starts_at_ms - now_ms > MAX_QUEUE_MS:
            return None
        self._idle_at_ms = starts_at_ms + n_bytes / self._bytes_per_ms
        return self._idle_at_ms


class Node:
    """An instance with its fleet state, its digest exchange and its links."""

    def __init__(self, fleet: "Fleet", number: int, mbps: float | None) -> None:
        self.name = f"i{number}"
        self.address = f"10.0.{number // 250}.{number % 250 + 1}:7000"
        self.failure_domain = "abc"[number % 3]
        self.inbound, self.outbound = Link(mbps), Link(mbps)
        self.is_running = False
        self.is_syncing = False
        self._fleet = fleet
        self._n_starts = 0
        self.start()

    def start(self) -> None:
        """Start or restart the process."""
        self._n_starts += 1
        self.is_running = True
        self._open_state()
        self.fleet_state.upstreams.replace(self._fleet.upstreams, 1)
        self.fleet_state.on_configuration(*self._fleet.configuration, "test")
        self._open_peers()
        start_delay_ms = self._fleet.rng.uniform(0.0, MIN_PERIOD_MS)
        self._fleet.after(start_delay_ms, self._tick, self._n_starts)

    def _open_state(self) -> None:
        now_ms = self._fleet.now_ms
        weights = WeightsView(20_000.0)
        self.fleet_state = FleetState(self.failure_domain, weights, now_ms, TELEMETRY)

    def _open_peers(self) -> None:
        now_ms = self._fleet.now_ms
        settings = PeerSettings(
            self.name,
            self.failure_domain,
            self.address,
            self._fleet.seeds,
            self._n_starts,
        )
        self.quota = FleetQuota(self._fleet.quota_bound, self._fleet.n_seeds, now_ms())
        self.peers = PeerExchange(
            settings,
            self.fleet_state,
            now_ms,
            self._fleet.timers.call_later,
            AccountQuotas(self.quota, self.fleet_state, now_ms, TELEMETRY),
        )
        self.peers.connection_made(_Transport(self._fleet, self))

    @property
    def generation(self) -> int:
        """Number of the current start."""
        return self._n_starts

    def forget(self) -> None:
        """Forget what a start gives, so that the node must read the store."""
        self._open_state()
        self._open_peers()
        self.has_read = False

    def stop(self) -> None:
        """Kill the process, without notice to its peers."""
        self.is_running = False

    def _tick(self, n_starts: int) -> None:
        if not self.is_running or n_starts != self._n_starts:
            return
        self.peers.send()
        self._fleet.after(self.peers.period_ms(), self._tick, n_starts)


class Fleet:
    """The instances, the network between them and a simulated clock.

    ``is_partitioned(sender, receiver)`` tells whether all packets between two instances
    are lost. ``limits`` are those of client accounts, by name.
    """

    def __init__(
        self,
        n_instances: int,
        n_upstreams: int = 49,
        mbps: float | None = None,
        seed: int = 1,
        loss: float = 0.0,
        limits: Mapping[str, AccountLimit] | None = None,
        quota_bound: QuotaBound = QUOTA_BOUND,
    ) -> None:
        self.quota_bound = quota_bound
        self.n_seeds = min(N_SEEDS, n_instances)
        self.rng = random.Random(seed)
        self.is_partitioned: Callable[[Node, Node], bool] = lambda a, b: False
        self.configuration = (_configuration(limits or {}), b"")
        self.upstreams = [_upstream(number) for number in range(n_upstreams)]
        self._loss = loss
        self.timers = SimulatedTimers(1_000_000.0)
        self.seeds = tuple(f"10.0.0.{n + 1}:7000" for n in range(N_SEEDS))
        self.nodes = [Node(self, number, mbps) for number in range(n_instances)]
        self._by_address = {node.address: node for node in self.nodes}

    def now_ms(self) -> float:
        return self.timers.now_ms()

    def after(self, delay_ms: float, call: Callable, *arguments) -> None:
        """Schedule a call after a delay."""
        self.at(self.now_ms() + delay_ms, call, *arguments)

    def at(self, at_ms: float, call: Callable, *arguments) -> None:
        """Schedule a call at a time."""
        self.timers.at(at_ms, call, *arguments)

    def run(self, duration_ms: float) -> None:
        """Advance the clock and run the calls that fall due."""
        self.timers.run(duration_ms)

    def running(self) -> list[Node]:
        return [node for node in self.nodes if node.is_running]

    def send(self, sender: Node, data: bytes, address: str) -> None:
        """Deliver a datagram, unless a link's queue is full or the packet is lost."""
        receiver = self._by_address.get(address)
        n_bytes = len(data) + HEADER_BYTES
        sent_at_ms = sender.outbound.transmit(n_bytes, self.now_ms())
        if receiver is None or sent_at_ms is None or self.rng.random() < self._loss:
            return
        self.at(sent_at_ms + LATENCY_MS, self._arrive, sender, receiver, data)

    def _arrive(self, sender: Node, receiver: Node, data: bytes) -> None:
        if not receiver.is_running or self.is_partitioned(sender, receiver):
            return
        received_at_ms = receiver.inbound.transmit(
            len(data) + HEADER_BYTES, self.now_ms()
        )
        if received_at_ms is None:
            return
        host, _, port = sender.address.rpartition(":")
        peers, address = receiver.peers, (host, int(port))
        self.at(received_at_ms, peers.datagram_received, data, address)

    def fetch(self, node: Node, n_bytes: int, on_done: Callable[[], None]) -> None:
        """Deliver a response of the store to an instance as TCP segments."""
        n_segments = -(-n_bytes // SEGMENT_BYTES)
        self._send_segments(node, n_segments, INITIAL_RETRANSMIT_MS, on_done)

    def sync_between_peers(self, n_bytes: int) -> None:
        """Let instances fetch a newer configuration from peers that have it."""
        for node in self.nodes:
            node.peers.on_peer_versions = functools.partial(
                self._start_sync, node, n_bytes
            )

    def _start_sync(self, node: Node, n_bytes: int, peer: PeerVersions) -> None:
        if node.is_syncing or not _is_newer_than(peer, node):
            return
        node.is_syncing = True
        self.after(STORE_HEAD_START_MS, self._run_sync, node, n_bytes, peer)

    def _run_sync(self, node: Node, n_bytes: int, peer: PeerVersions) -> None:
        if not _is_newer_than(peer, node):
            node.is_syncing = False
            return
        source = self._by_address[peer.address]
        source.outbound.transmit(n_bytes, self.now_ms())
        self.fetch(node, n_bytes, lambda: self._finish_sync(node, source))

    def _finish_sync(self, node: Node, source: Node) -> None:
        node.is_syncing = False
        configuration = source.fleet_state.configuration.table.configuration
        node.fleet_state.on_configuration(configuration, b"", source.name)

    def _send_segments(
        self, node: Node, n_left: int, timeout_ms: float, on_done: Callable[[], None]
    ) -> None:
        size = SEGMENT_BYTES + HEADER_BYTES
        now_ms = self.now_ms()
        transmitted = [node.inbound.transmit(size, now_ms) for _ in range(n_left)]
        n_lost = transmitted.count(None)
        if n_lost:
            self.after(
                timeout_ms, self._send_segments, node, n_lost, timeout_ms * 2, on_done
            )
            return
        self.at(max(transmitted) + LATENCY_MS, on_done)


class _Transport:
    """The datagram transport of a node."""

    def __init__(self, fleet: Fleet, node: Node) -> None:
        self._fleet = fleet
        self._node = node

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if self._node.is_running:
            self._fleet.send(self._node, data, f"{address[0]}:{address[1]}")


def _is_newer_than(peer: PeerVersions, node: Node) -> bool:
    return peer.configuration_version > node.fleet_state.configuration.version


def _upstream(number: int) -> Upstream:
    return Upstream(
        upstream_id=f"i-{number:010x}",
        service="engines",
        address=f"10.9.0.{number}:80",
        failure_domain="abc"[number % 3],
        is_draining=False,
        started_ms=1_796_380_000_000 + number,
        n_slots=16,
        weights_versions={"m": 1},
    )


def _configuration(limits: Mapping[str, AccountLimit]) -> Configuration:
    engines = Service("engines", 100, EngineSpec(16, 160_000, 35_000, 5e5))
    accounts = {name: ClientAccount(name, None, limits[name]) for name in limits}
    return Configuration(
        1,
        (),
        {"engines": engines},
        (),
        accounts,
        requires_keys=False,
        limits=ClientLimits(),
    )


def busiest(nodes: Iterable[Node]) -> int:
    """Return the most bytes sent or received by any of the nodes."""
    return max(max(node.inbound.n_bytes, node.outbound.n_bytes) for node in nodes)
