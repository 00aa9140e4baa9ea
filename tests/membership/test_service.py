"""Membership over real sockets: join, death, leave, partition and bad frames."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor, as_completed
from itertools import islice

import pynng
import pytest

from buckthornrock.conf.settings import WireSettings
from buckthornrock.membership import InstanceView, detector
from buckthornrock.membership.service import MembershipService, open_membership
from buckthornrock.runtime import system_clock
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from buckthornrock.wire import Identity, PeerAddress, open_transport
from buckthornrock.wire.dialer import close_context
from buckthornrock.wire.membership_messages import News, Probe
from buckthornrock.wire.message import Ack, Message
from buckthornrock.wire.transport import N_SLOW_MESSAGES

SECRET = "a-shared-secret-of-the-fleet"
SETTINGS = WireSettings(shared_secret=SECRET, timeout_ms=300, max_frame_bytes=65_536)
WAIT_LIMIT_S = 20.0


class Node:
    """Membership of one instance; the test calls its periodic functions."""

    def __init__(self, instance_id, seeds=()):
        telemetry = Telemetry(open_log(None), open_metrics("", 0, ""))
        identity = Identity(instance_id, f"run-{random.random()}")
        self.transport = open_transport(identity, SETTINGS, telemetry)
        view = InstanceView(
            instance_id, self.transport.address, "fd", "r", identity.incarnation
        )
        self.peer = PeerAddress(instance_id, self.transport.address)
        self.service = MembershipService(
            view, self.transport, seeds, 300, telemetry, system_clock(),
            random.Random(1),
        )  # fmt: skip
        self.port = open_membership(self.service)

    def step(self):
        self.service.probe()
        self.service.send_gossip()

    def live(self):
        return [view.instance_id for view in self.port.live()]

    def close(self):
        self.service.close()
        self.transport.close()


@pytest.fixture
def fleet():
    nodes = [Node("i0")]
    nodes += [Node(f"i{index}", [nodes[0].peer]) for index in range(1, 5)]
    step_until(nodes, lambda: all(node.live() == ids(nodes) for node in nodes))
    yield nodes
    for node in nodes:
        node.close()


def ids(nodes):
    return [node.peer.instance_id for node in nodes]


def step_until(nodes, condition):
    give_up_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < give_up_at_s
        for node in nodes:
            node.step()
        time.sleep(0.01)


def test_dead_instance_is_removed_and_its_next_run_joins(fleet):
    *rest, last = fleet
    last.close()
    step_until(rest, lambda: all(node.live() == ids(rest) for node in rest))
    again = Node(last.peer.instance_id, [fleet[0].peer])
    fleet[-1] = again
    step_until(fleet, lambda: all(node.live() == ids(fleet) for node in fleet))


def test_leaving_instance_is_removed_without_suspicion(fleet):
    *rest, last = fleet
    last.port.leave()
    step_until(rest, lambda: all(node.live() == ids(rest) for node in rest))
    assert fleet[0].service._detector.record(last.peer.instance_id).state == "left"


def test_ask_returns_the_reply_or_the_kind_of_failure(fleet):
    one, other, *_ = fleet
    other.port.subscribe(News, lambda sender, news: Ack())
    assert one.port.ask("i1", News(()), 300).ok == Ack()
    assert one.port.ask("i1", Ack(), 300).error.code == "peer-unsupported"
    assert one.port.ask("none", News(()), 300).error.code == "peer-not-reached"
    other.port.subscribe(News, lambda sender, news: 1 / 0)
    assert one.port.ask("i1", News(()), 300).error.code == "peer-failed"
    assert one.port.ask("i0", News(()), 300).ok == Ack()


def test_slow_handlers_do_not_delay_heartbeats(fleet):
    one, other, *_ = fleet
    other.port.subscribe(News, lambda sender, news: time.sleep(1.0), is_slow=True)
    for _ in range(12):
        one.port.tell("i1", News(()))
    reply = one.port.ask("i1", Probe(one.service._detector.digests()), 300)
    assert reply.is_ok()


def test_too_many_slow_messages_are_refused_unhandled(fleet):
    one, other, *_ = fleet
    n_refused = 8
    handled = []
    may_end = threading.Event()

    def handle(sender, news):
        handled.append(sender)
        may_end.wait(WAIT_LIMIT_S)

    other.port.subscribe(News, handle, is_slow=True)
    with ThreadPoolExecutor(N_SLOW_MESSAGES + n_refused) as pool:
        asks = [
            pool.submit(one.port.ask, "i1", News(()), WAIT_LIMIT_S * 1000.0)
            for _ in range(N_SLOW_MESSAGES + n_refused)
        ]
        # No handler ends before all messages beyond the limit have been refused.
        try:
            first = list(islice(as_completed(asks, WAIT_LIMIT_S), n_refused))
        finally:
            may_end.set()
        answered = [ask.result() for ask in asks if ask not in first]
    assert [ask.result().error.code for ask in first] == [
        "peer-not-reached"
    ] * n_refused
    assert [reply.ok for reply in answered] == [Ack()] * N_SLOW_MESSAGES
    assert len(handled) == N_SLOW_MESSAGES


def test_close_between_two_messages_raises_in_no_thread(fleet, monkeypatch):
    """A receiving thread used the closed socket after queueing a slow message."""
    one, other, *_ = fleet
    raised = []
    monkeypatch.setattr(threading, "excepthook", raised.append)
    transport = other.transport

    def close_instead(handle, context, *message):
        close_context(context)
        transport._socket.close()

    monkeypatch.setattr(transport._slow, "submit", close_instead)
    other.port.subscribe(News, lambda sender, news: Ack(), is_slow=True)
    assert one.port.ask("i1", News(()), 300).is_error()
    for thread in transport._threads[: SETTINGS.n_contexts]:
        thread.join(WAIT_LIMIT_S)
        assert not thread.is_alive()
    assert raised == []


def test_replayed_and_forged_frames_are_dropped(fleet):
    one, other, *_ = fleet
    n_handled = []
    other.port.subscribe(News, lambda sender, news: n_handled.append(sender))
    frame = one.transport._codec.seal(
        "request", one.transport.identity, other.transport.identity, 10_000, News(())
    )
    for raw in (frame, frame, b"x" * 30, b"x" * 70_000):
        with pynng.Req0(send_timeout=500, recv_timeout=200) as socket:
            socket.dial(f"tcp://{other.transport.address}", block=True)
            socket.send(raw)
            try:
                socket.recv()
            except pynng.Timeout:
                continue
    assert n_handled == ["i0"]
    assert other.transport.n_dropped == 3


class NewerMessage(Message, tag="future.question"):
    """A message type that no receiver knows."""


def test_message_of_a_newer_version_is_answered_as_unsupported(fleet):
    one, *_ = fleet
    assert one.port.ask("i1", NewerMessage(), 300).error.code == "peer-unsupported"


def partition(monkeypatch, nodes, groups):
    """Partition the network: no node may dial one of another group."""
    group_of = {
        node.transport.address: number
        for number, group in enumerate(groups)
        for node in group
    }
    for node in nodes:
        dialer = node.transport._dialer
        own = group_of[node.transport.address]

        def open_context(address, timeout_ms, own=own, dial=dialer.open_context):
            if group_of.get(address, own) != own:
                raise pynng.Timeout("cut off", 0)
            return dial(address, timeout_ms)

        monkeypatch.setattr(dialer, "open_context", open_context)


def test_both_sides_of_a_partition_go_on_and_merge_again(fleet, monkeypatch):
    monkeypatch.setattr(detector, "DEAD_PROBE_PERIOD_MS", 200.0)
    sides = (fleet[:2], fleet[2:])
    with monkeypatch.context() as patches:
        partition(patches, fleet, sides)
        step_until(
            fleet, lambda: all(n.live() == ids(side) for side in sides for n in side)
        )
        assert [node.service.n_known() for node in fleet] == [len(fleet)] * len(fleet)
    step_until(fleet, lambda: all(node.live() == ids(fleet) for node in fleet))
