"""The index never matches across members, incarnations or weights versions.

Events may be late, lost, repeated or out of order.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornrock.routing.blocks import BlockHasher, hex_from_hashes
from buckthornrock.routing.index import CacheIndex
from buckthornrock.routing.isolation import cache_salt
from buckthornrock.upstreams.engine_messages import CacheEvent

SECRET = "a-secret-of-the-tests"
OWNERS = [("agency", "north"), ("agency", "south"), ("shop", "")]
PROMPTS = [
    bytes([65 + i]) * 128 + bytes([97 + j]) * 128 for i in (0, 1) for j in (0, 1)
]
HASHER = BlockHasher(64)


def chain_of(owner, weights, prompt):
    return HASHER.chain(cache_salt(SECRET, *owner, "small", weights), prompt)


class IndexMachine(RuleBasedStateMachine):
    """An engine that restarts and loads weights, with events in any order."""

    def __init__(self):
        super().__init__()
        self.index = CacheIndex(10_000)
        self.now_ms = 0.0
        self.n_incarnations = self.n_weights = 0
        self.sent = []
        self.restart()

    @property
    def weights(self):
        return f"w{self.n_weights}"

    @property
    def incarnation(self):
        return f"i{self.n_incarnations}"

    @rule()
    def restart(self):
        self.n_incarnations += 1
        self.stored, self.ever_stored, self.log = set(), set(), []

    @rule()
    def load_weights(self):
        self.n_weights += 1
        self.stored, self.ever_stored = set(), set()
        self.emit("cleared", [])

    @rule(owner=st.sampled_from(OWNERS), prompt=st.sampled_from(PROMPTS))
    def store(self, owner, prompt):
        chain = chain_of(owner, self.weights, prompt)
        self.stored.update(chain)
        self.ever_stored.update(chain)
        self.emit("stored", hex_from_hashes(chain))

    @rule(owner=st.sampled_from(OWNERS), prompt=st.sampled_from(PROMPTS))
    def evict(self, owner, prompt):
        chain = chain_of(owner, self.weights, prompt)[1:]
        self.stored.difference_update(chain)
        self.emit("removed", hex_from_hashes(chain))

    @rule(owner=st.sampled_from(OWNERS), prompt=st.sampled_from(PROMPTS))
    def first_token(self, owner, prompt):
        """This instance sees a response before the engine's events report it."""
        self.store(owner, prompt)
        engine = self.index.observe("e", self.incarnation, self.weights)
        engine.confirm(chain_of(owner, self.weights, prompt))

    def emit(self, kind, hashes):
        event = CacheEvent(len(self.log) + 1, kind, hashes)
        self.log.append(event)
        self.sent.append((self.incarnation, event))

    @rule(data=st.data(), wait_ms=st.sampled_from([0.0, 100.0, 1_000.0]))
    def deliver_some(self, data, wait_ms):
        """Deliver some events late, reordered or repeated, also of old incarnations."""
        self.now_ms += wait_ms
        if not self.sent:
            return
        for incarnation, event in data.draw(
            st.lists(st.sampled_from(self.sent), max_size=6)
        ):
            self.index.apply("e", incarnation, [event], self.now_ms)

    @rule()
    def deliver_all(self):
        """After all events in order, the index matches what the engine holds."""
        self.index.observe("e", self.incarnation, self.weights)
        engine = self.index.get("e")
        was_new = engine.sequencer.next_seq is None
        self.index.apply("e", self.incarnation, self.log, self.now_ms)
        if not was_new or not self.log:
            return
        for owner in OWNERS:
            for prompt in PROMPTS:
                chain = chain_of(owner, self.weights, prompt)
                held = [h in self.stored for h in chain]
                n_held = held.index(False) if False in held else len(held)
                assert engine.match(chain, self.now_ms).n_blocks == n_held

    @invariant()
    def matches_only_what_this_incarnation_stored(self):
        engine = self.index.observe("e", self.incarnation, self.weights)
        for owner in OWNERS:
            for prompt in PROMPTS:
                chain = chain_of(owner, self.weights, prompt)
                n_hits = engine.match(chain, self.now_ms).n_blocks
                assert set(chain[:n_hits]) <= self.ever_stored

    @rule()
    def observe_late_report(self):
        """A late load report of the last incarnation may only drop entries."""
        self.index.observe("e", f"i{self.n_incarnations - 1}", self.weights)


TestIndexMachine = IndexMachine.TestCase
