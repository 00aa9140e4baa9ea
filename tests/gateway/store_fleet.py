"""Simulates a fleet whose instances follow a store, directly or through peers."""

import random

import msgspec

from buckthornrock.gateway.state_sync import (
    PeerVersions,
    StateSync,
    encode_snapshot,
)
from buckthornrock.gateway.store_watch import StoreWatch
from buckthornrock.platform.configuration import decode_configuration
from buckthornrock.store.store_watcher import (
    MAX_BACKOFF_MS,
    POLL_WAIT_MS,
    batching_delay_ms,
)
from tests.gateway.fleet import TELEMETRY, Fleet, Node
from tests.platform.test_decoding import DOCUMENT

CHECK_PERIOD_MS = 100.0
CALL_MS = 4.0
#: How long a call takes that the store does not answer.
SILENT_CALL_MS = 1_500.0
#: Period in which a waiting call looks for changes.
POLL_STEP_MS = 20.0
COPY_MS = 5.0
SNAPSHOT_TIMEOUT_MS = 1_000.0


class Store:
    """Entries of upstreams and a configuration, each change with a revision."""

    def __init__(self, upstreams):
        self.revision = 10
        self.upstreams = {u.upstream_id: u for u in upstreams}
        self.version = 1
        self.changes = []
        self.calls_at_ms = []

    def encoded_configuration(self):
        return msgspec.json.encode({**DOCUMENT, "version": self.version})

    def put(self, upstream):
        self.revision += 1
        self.upstreams[upstream.upstream_id] = upstream
        self.changes.append((self.revision, upstream.upstream_id, upstream))

    def remove(self, upstream_id):
        self.revision += 1
        del self.upstreams[upstream_id]
        self.changes.append((self.revision, upstream_id, None))

    def configure(self):
        self.revision += 1
        self.version += 1


class StoreFleet(Fleet):
    """A fleet with a store; ``can_reach(node)`` says whom the store answers.

    ``is_silent`` says whether it lets the others wait or refuses their calls.
    """

    def __init__(self, n_instances, seed=1, n_upstreams=12, **options):
        super().__init__(n_instances, n_upstreams, seed=seed, **options)
        self.store = Store(self.upstreams)
        self.can_reach = lambda node: True
        self.is_silent = False
        self.n_copied = 0
        for node in self.nodes:
            self.follow_store(node)

    def restart(self, node: Node) -> None:
        """Start a node anew; it knows nothing."""
        node.start()
        self.follow_store(node)

    def follow_store(self, node: Node) -> None:
        """Let a node that has just started read the store and follow it."""
        node.forget()
        node.watch = StoreWatch(random.Random(self.rng.random()))
        node.is_wanted = False
        node.is_polling = False
        node.n_failures = 0
        node.sync = StateSync(
            "", node.fleet_state, decode_configuration, TELEMETRY, self.now_ms
        )
        node.is_syncing = False
        node.peers.on_peer_versions = lambda peer: self._on_versions(node, peer)
        generation = node.generation
        self.after(self.rng.uniform(0.0, 300.0), self._first_read, node, generation)
        self.after(
            self.rng.uniform(0.0, CHECK_PERIOD_MS), self._check, node, generation
        )

    def behind(self):
        """Return the running nodes that lack an entry or the configuration."""
        return [node.name for node in self.running() if not self.is_current(node)]

    def is_current(self, node):
        """Return whether a node knows the store's configuration and entries."""
        state = node.fleet_state
        known = {u.upstream_id: u for u in state.directory.registered()}
        return (
            state.configuration.version == self.store.version
            and known == self.store.upstreams
        )

    def n_calls_since(self, at_ms):
        return sum(called_at_ms >= at_ms for called_at_ms in self.store.calls_at_ms)

    def _is_running(self, node, generation):
        return node.is_running and node.generation == generation

    def _check(self, node, generation):
        if not self._is_running(node, generation):
            return
        state = node.fleet_state
        state.upstreams.expire()
        inputs = node.peers.watch_inputs()
        node.is_wanted = node.watch.should_watch(inputs, self.now_ms())
        state.is_watching_store = node.is_wanted
        if node.is_wanted and node.has_read and not node.is_polling:
            node.is_polling = True
            self._call(node, generation, self._poll)
        self.after(CHECK_PERIOD_MS, self._check, node, generation)

    def _first_read(self, node, generation):
        node.is_polling = True
        self._call(node, generation, self._read)

    def _call(self, node, generation, handle):
        if not self._is_running(node, generation):
            return
        self.store.calls_at_ms.append(self.now_ms())
        if self.can_reach(node):
            self.after(CALL_MS, handle, node, generation, self.now_ms())
        else:
            delay_ms = SILENT_CALL_MS if self.is_silent else CALL_MS
            self.after(delay_ms, self._on_failed, node, generation)

    def _on_failed(self, node, generation):
        if not self._is_running(node, generation):
            return
        node.has_read = True
        node.fleet_state.upstreams.on_store_failed(
            "silent" if self.is_silent else "status 503"
        )
        node.n_failures += 1
        pause_ms = min(MAX_BACKOFF_MS, 50.0 * 2.0**node.n_failures)
        self.after(self.rng.uniform(0.0, pause_ms), self._next_call, node, generation)

    def _next_call(self, node, generation):
        if not self._is_running(node, generation):
            return
        if not node.is_wanted:
            node.is_polling = False
            return
        handle = self._poll if node.fleet_state.upstreams.revision else self._read
        self._call(node, generation, handle)

    def _read(self, node, generation, called_at_ms):
        if not self._is_running(node, generation):
            return
        node.has_read = True
        self._confirm(node)
        self._configure(node)
        entries = list(self.store.upstreams.values())
        node.fleet_state.upstreams.replace(entries, self.store.revision)
        self._next_call(node, generation)

    def _poll(self, node, generation, called_at_ms):
        """Answer a waiting call once there is a change or its time is over."""
        if not self._is_running(node, generation):
            return
        if not self.can_reach(node):
            self._on_failed(node, generation)
            return
        known = node.fleet_state.upstreams.revision
        if self.store.revision == known:
            if self.now_ms() - called_at_ms < POLL_WAIT_MS:
                self.after(POLL_STEP_MS, self._poll, node, generation, called_at_ms)
                return
            self._confirm(node)
            node.fleet_state.upstreams.change([], [], known)
            self._next_call(node, generation)
            return
        newest = {
            name: upstream
            for revision, name, upstream in self.store.changes
            if revision > known
        }
        self._confirm(node)
        self._configure(node)
        node.fleet_state.upstreams.change(
            [u for u in newest.values() if u is not None],
            [name for name, u in newest.items() if u is None],
            self.store.revision,
        )
        delay_ms = batching_delay_ms(node.peers.n_store_watchers())
        self.after(delay_ms, self._next_call, node, generation)

    def _confirm(self, node):
        node.n_failures = 0
        node.fleet_state.store_contact.on_call_answered()

    def _configure(self, node):
        encoded = self.store.encoded_configuration()
        configuration = decode_configuration(encoded).ok
        node.fleet_state.on_configuration(configuration, encoded, "store")

    def _on_versions(self, node, peer: PeerVersions):
        if node.is_syncing or not node.sync.is_behind(peer):
            return
        node.is_syncing = True
        head_start_ms = node.sync.head_start_ms()
        self.after(head_start_ms, self._copy, node, node.generation, peer)

    def _copy(self, node, generation, peer):
        if not self._is_running(node, generation):
            return
        source = self._by_address[peer.address]
        is_cut = self.is_partitioned(node, source) or not source.is_running
        if is_cut or not node.sync.is_behind(peer):
            delay_ms = SNAPSHOT_TIMEOUT_MS if is_cut else 0.0
            self.after(delay_ms, self._end_copy, node, generation)
            return
        request = node.sync.begin_request()
        data = encode_snapshot(source.fleet_state, request)
        self.n_copied += 1
        self.after(COPY_MS, self._take_copy, node, generation, data, source)

    def _take_copy(self, node, generation, data, source):
        if self._is_running(node, generation):
            node.sync.apply(data, source.name)
            node.is_syncing = False

    def _end_copy(self, node, generation):
        if self._is_running(node, generation):
            node.is_syncing = False
