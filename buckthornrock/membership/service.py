"""Feeds the detector: sends heartbeats, answers them and spreads news."""

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
#: How long news is collected before it is sent.
GOSSIP_DELAY_MS = 200.0
#: Sends what a lost wake-up left behind.
IDLE_GOSSIP_PERIOD_MS = 5_000.0
#: Instances that news is sent to; each sends it on the first time it hears it.
N_NEWS_TARGETS = 3
#: Records in one message of news; anti-entropy carries what does not fit.
N_NEWS_RECORDS = 64
N_PROBE_THREADS = 4
LEAVE_TIMEOUT_MS = 200.0
#: Instances that read the platform's list every period; the others read it rarely.
N_LIST_READERS = 8
LIST_KEY = b"instance-list"
RARE_LIST_PERIOD_MS = 10_000.0

ReadList = Callable[[], Result[tuple[ListedInstance, ...], ListUnavailable]]


class MembershipService:
    """The detector with its lock, and the threads' work on it.

    Attributes
    ----------
    on_gossip_pending : callable
        Called when there is news again; has :meth:`send_gossip` called a little later.
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
        self._news: list[MemberRecord] = []
        self.on_gossip_pending: Callable[[], None] = lambda: None
        self._list_read_at_ms = -RARE_LIST_PERIOD_MS
        self._pool = ThreadPoolExecutor(N_PROBE_THREADS, "probe")
        transport.subscribe(Probe, self._on_probe)
        transport.subscribe(News, self._on_news)

    def self_view(self) -> InstanceView:
        """Return this instance."""
        return self._view

    def live(self) -> tuple[InstanceView, ...]:
        """Return the live instances, sorted by id, with this one."""
        return self._views

    def n_known(self) -> int:
        """Return how many instances may be running, this one included.

        More than the live ones: those that were live of late and those that the list
        and the settings name. Shares of a budget are cut by this number, so that a
        split or a herd of restarts does not overdraw it.
        """
        return self._n_known

    def tell(self, instance_id: str, message: Message) -> None:
        """Send in the background, at best effort."""
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
        """Let ``handler`` answer messages of ``message_type``."""
        self._transport.subscribe(message_type, handler, is_slow)

    def probe(self) -> None:
        """Send this period's heartbeats and act on suspicions."""
        now_ms = self._clock.now_ms()
        with self._lock:
            fresh = self._detector.expire(now_ms)
            targets = self._detector.plan(now_ms, self._rng)
        self._note(fresh)
        list(self._pool.map(self._probe_one, targets))
        self._telemetry.metrics.gauge(MEMBERS_LIVE, len(self._views))

    def send_gossip(self) -> None:
        """Send the news of this period to a few random instances."""
        with self._lock:
            records, self._news = self._news[:N_NEWS_RECORDS], []
        if not records:
            return
        for peer in self._random_peers(N_NEWS_TARGETS):
            self._transport.tell(peer, News(tuple(records)))

    def read_list(self, read_list: ReadList) -> None:
        """Take candidates from the platform's list, if it is this one's turn."""
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
        """Tell a few instances that this one leaves; they tell the others."""
        with self._lock:
            record = self._detector.leave(self._clock.now_ms())
        for peer in self._random_peers(N_NEWS_TARGETS):
            self._transport.ask(peer, News((record,)), LEAVE_TIMEOUT_MS)

    def close(self) -> None:
        """End the threads that send heartbeats."""
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
        # A suspected instance must hear of it, so that it can refute it.
        news = (known,) if known and known.state != "live" else ()
        peer = PeerAddress(*target)
        reply = self._transport.ask(peer, Probe(digests, news), self._probe_timeout_ms)
        now_ms = self._clock.now_ms()
        if reply.is_error() or not isinstance(reply.ok, ProbeReply):
            with self._lock:
                fresh = self._detector.on_failure(target.instance_id, now_ms)
            self._note(fresh)
            return
        self._on_reply(peer, reply.ok, now_ms)

    def _on_reply(self, peer: PeerAddress, reply: ProbeReply, now_ms: float) -> None:
        with self._lock:
            self._detector.on_answer(peer.instance_id)
            fresh = self._detector.merge(reply.records, now_ms)
            newer = self._detector.newer_than(reply.records, reply.differing)
        # What anti-entropy brought is old news elsewhere; only a refutation is not.
        own_id = self._view.instance_id
        self._note(fresh, [r for r in fresh if r.instance_id == own_id])
        if newer:
            self._transport.tell(peer, News(newer))

    def _on_probe(self, sender_id: str, probe: Probe) -> ProbeReply:
        with self._lock:
            fresh = self._detector.merge(probe.news, self._clock.now_ms())
            differing = self._detector.differing(probe.digests)
            records = self._detector.records_in(differing)
        self._note(fresh)
        return ProbeReply(records, differing)

    def _on_news(self, sender_id: str, news: News) -> None:
        with self._lock:
            fresh = self._detector.merge(news.records, self._clock.now_ms())
        self._note(fresh)

    def _note(
        self, fresh: list[MemberRecord], to_spread: list[MemberRecord] | None = None
    ) -> None:
        """Publish the new view, log changes and keep news for the next period."""
        if not fresh:
            return
        with self._lock:
            self._views = tuple(map(_view_of, self._detector.live()))
            self._n_known = self._detector.n_known()
            had_news = bool(self._news)
            self._news += fresh if to_spread is None else to_spread
            is_first = bool(self._news) and not had_news
        if is_first:
            self.on_gossip_pending()
        for record in fresh:
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
