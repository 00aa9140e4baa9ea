"""Membership service: sends and answers heartbeats, and gossips changed records."""

import random
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from expression import Error, Result

from ..events import membership as events
from ..runtime import Clock
from ..runtime.rendezvous import rank
from ..store.errors import ListUnavailable
from ..store.instance_list import ListedInstance
from ..telemetry import Telemetry
from ..telemetry.metrics import MEMBERS_LIVE
from ..wire import (
    Handler,
    Message,
    PeerAddress,
    PeerFailure,
    PeerNotReached,
    Transport,
)
from ..wire.membership_messages import MemberRecord, News, Probe, ProbeReply
from .detector import Detector, ProbeTarget
from .port import InstanceView, MembershipPort

PROBE_PERIOD_MS = 1_000.0
#: How long changed records are collected before they are gossiped.
GOSSIP_DELAY_MS = 200.0
#: Period of gossip without a wake-up, for records whose wake-up was lost.
IDLE_GOSSIP_PERIOD_MS = 5_000.0
#: Number of instances that gossip is sent to; each passes on what is new to it.
N_GOSSIP_TARGETS = 3
#: Most records in one gossip message; anti-entropy carries what does not fit.
MAX_GOSSIP_RECORDS = 64
N_PROBE_THREADS = 4
LEAVE_TIMEOUT_MS = 200.0
#: Number of instances that read the platform's instance list in every period. The
#: others read it once in ``RARE_LIST_PERIOD_MS``.
N_LIST_READERS = 8
LIST_KEY = b"instance-list"
RARE_LIST_PERIOD_MS = 10_000.0

ReadList = Callable[[], Result[tuple[ListedInstance, ...], ListUnavailable]]


class MembershipService:
    """Runs the detector: locking, probes, gossip and reads of the instance list.

    Attributes
    ----------
    on_gossip_pending : callable
        Called when the first record waits to be gossiped; it must schedule a call of
        :meth:`send_gossip` a little later.
    """

    def __init__(
        self,
        view: InstanceView,
        transport: Transport,
        seeds: Iterable[PeerAddress],
        probe_timeout_ms: float,
        telemetry: Telemetry,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._transport = transport
        self._seeds = [ProbeTarget(*seed) for seed in seeds]
        self._probe_timeout_ms = probe_timeout_ms
        self._telemetry = telemetry
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._detector = Detector(_record_of(view, clock.wall_ms()))
        self._detector.set_candidates(self._seeds)
        self._views: tuple[InstanceView, ...] = (view,)
        self._n_known = self._detector.n_known()
        self._pending_gossip: list[MemberRecord] = []
        self.on_gossip_pending: Callable[[], None] = lambda: None
        self._list_read_at_ms = -RARE_LIST_PERIOD_MS
        self._pool = ThreadPoolExecutor(N_PROBE_THREADS, "probe")
        transport.subscribe(Probe, self._on_probe)
        transport.subscribe(News, self._on_news)

    def self_view(self) -> InstanceView:
        """Return this instance."""
        return self._view

    def live(self) -> tuple[InstanceView, ...]:
        """Return the live instances, sorted by id, this one included."""
        return self._views

    def n_known(self) -> int:
        """Return how many instances may be running, this one included.

        Besides the live ones these are the instances that were live recently and those
        that the instance list and the settings name. Budgets are divided by this
        number, so that a network partition or many restarts at once do not exceed them.
        """
        return self._n_known

    def tell(self, instance_id: str, message: Message) -> None:
        """Send in the background, with best effort."""
        peer = self._peer(instance_id)
        if peer is not None:
            self._transport.tell(peer, message)

    def ask(
        self, instance_id: str, message: Message, timeout_ms: float
    ) -> Result[Message, PeerFailure]:
        """Send and wait for the reply."""
        peer = self._peer(instance_id)
        if peer is None:
            return Error(PeerNotReached(instance_id))
        return self._transport.ask(peer, message, timeout_ms)

    def subscribe(
        self, message_type: type[Message], handler: Handler, is_slow: bool = False
    ) -> None:
        """Register ``handler`` for messages of ``message_type``."""
        self._transport.subscribe(message_type, handler, is_slow)

    def probe(self) -> None:
        """Send this period's heartbeats and expire suspicions."""
        now_ms = self._clock.now_ms()
        with self._lock:
            changed = self._detector.expire(now_ms)
            targets = self._detector.plan(now_ms, self._rng)
        self._publish(changed)
        list(self._pool.map(self._probe_one, targets))
        self._telemetry.metrics.gauge(MEMBERS_LIVE, len(self._views))

    def send_gossip(self) -> None:
        """Send the collected records to a few random instances."""
        with self._lock:
            records, self._pending_gossip = (
                self._pending_gossip[:MAX_GOSSIP_RECORDS],
                [],
            )
        if not records:
            return
        for peer in self._random_peers(N_GOSSIP_TARGETS):
            self._transport.tell(peer, News(tuple(records)))

    def read_list(self, read_list: ReadList) -> None:
        """Update the candidates from the instance list, if a read of it is due."""
        now_ms = self._clock.now_ms()
        is_due = now_ms - self._list_read_at_ms >= RARE_LIST_PERIOD_MS
        if not is_due and not self._is_list_reader():
            return
        self._list_read_at_ms = now_ms
        listed = read_list()
        if listed.is_error():
            self._telemetry.log(events.LIST_UNREADABLE, reason=listed.error.reason)
            return
        live = [ProbeTarget(i.id, i.address) for i in listed.ok if i.state == "live"]
        with self._lock:
            self._detector.set_candidates(self._seeds + live)
            self._n_known = self._detector.n_known()

    def leave(self) -> None:
        """Tell a few instances that this one leaves; they gossip it to the others."""
        with self._lock:
            record = self._detector.leave(self._clock.now_ms())
        for peer in self._random_peers(N_GOSSIP_TARGETS):
            self._transport.ask(peer, News((record,)), LEAVE_TIMEOUT_MS)

    def close(self) -> None:
        """Stop the threads that send heartbeats."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _peer(self, instance_id: str) -> PeerAddress | None:
        with self._lock:
            address = self._detector.address_of(instance_id)
        return PeerAddress(instance_id, address) if address else None

    def _random_peers(self, n_peers: int) -> list[PeerAddress]:
        others = [v for v in self._views if v.instance_id != self._view.instance_id]
        chosen = self._rng.sample(others, min(n_peers, len(others)))
        return [PeerAddress(view.instance_id, view.address) for view in chosen]

    def _is_list_reader(self) -> bool:
        ids = [view.instance_id for view in self._views]
        return self._view.instance_id in rank(LIST_KEY, ids)[:N_LIST_READERS]

    def _probe_one(self, target: ProbeTarget) -> None:
        with self._lock:
            known = self._detector.record(target.instance_id)
            digests = self._detector.digests()
        # A suspected instance is told of the suspicion, so that it can refute it.
        news = (known,) if known and known.state != "live" else ()
        peer = PeerAddress(*target)
        reply = self._transport.ask(peer, Probe(digests, news), self._probe_timeout_ms)
        now_ms = self._clock.now_ms()
        if reply.is_error() or not isinstance(reply.ok, ProbeReply):
            with self._lock:
                changed = self._detector.on_failure(target.instance_id, now_ms)
            self._publish(changed)
            return
        self._on_reply(peer, reply.ok, now_ms)

    def _on_reply(self, peer: PeerAddress, reply: ProbeReply, now_ms: float) -> None:
        with self._lock:
            self._detector.on_reply(peer.instance_id)
            changed = self._detector.merge(reply.records, now_ms)
            newer = self._detector.newer_than(reply.records, reply.differing)
        # Records from anti-entropy are known elsewhere; only a refutation by this
        # instance is new and must be gossiped.
        own_id = self._view.instance_id
        self._publish(changed, [r for r in changed if r.instance_id == own_id])
        if newer:
            self._transport.tell(peer, News(newer))

    def _on_probe(self, sender_id: str, probe: Probe) -> ProbeReply:
        with self._lock:
            changed = self._detector.merge(probe.news, self._clock.now_ms())
            differing = self._detector.differing(probe.digests)
            records = self._detector.records_in(differing)
        self._publish(changed)
        return ProbeReply(records, differing)

    def _on_news(self, sender_id: str, news: News) -> None:
        with self._lock:
            changed = self._detector.merge(news.records, self._clock.now_ms())
        self._publish(changed)

    def _publish(
        self, changed: list[MemberRecord], to_gossip: list[MemberRecord] | None = None
    ) -> None:
        """Publish the changed view, log the changes and queue them for gossip."""
        if not changed:
            return
        with self._lock:
            self._views = tuple(map(_view_of, self._detector.live()))
            self._n_known = self._detector.n_known()
            had_pending = bool(self._pending_gossip)
            self._pending_gossip += changed if to_gossip is None else to_gossip
            is_first = bool(self._pending_gossip) and not had_pending
        if is_first:
            self.on_gossip_pending()
        for record in changed:
            self._log(record)
            if record.state in ("dead", "left"):
                self._transport.forget(PeerAddress(record.instance_id, record.address))

    def _log(self, record: MemberRecord) -> None:
        self._telemetry.log(
            events.MEMBER_CHANGED,
            member=record.instance_id,
            incarnation=record.incarnation,
            state=record.state,
        )


def open_membership(service: MembershipService) -> MembershipPort:
    """Return the port to ``service``."""
    return MembershipPort(
        self_view=service.self_view,
        live=service.live,
        tell=service.tell,
        ask=service.ask,
        subscribe=service.subscribe,
        leave=service.leave,
    )


def _record_of(view: InstanceView, version: int) -> MemberRecord:
    return MemberRecord(version=version, **view._asdict())


def _view_of(record: MemberRecord) -> InstanceView:
    return InstanceView(
        instance_id=record.instance_id,
        address=record.address,
        failure_domain=record.failure_domain,
        region=record.region,
        incarnation=record.incarnation,
    )
