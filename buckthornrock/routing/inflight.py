"""Work that engines' load reports don't include yet.

It consists of the requests that this instance and its peers sent recently.
"""

from collections.abc import Mapping
from typing import NamedTuple

#: Time for which a peer's digest is used; a busy peer sends the next one before that.
PEER_TTL_MS = 400.0
#: Requests of this instance without a first token are forgotten after this long.
SENT_TTL_MS = 60_000.0


class SentRequest(NamedTuple):
    """A request that was sent and has no first token yet."""

    sent_at_ms: float
    n_missed_tokens: int


class _PeerDigest(NamedTuple):
    received_at_ms: float
    n_tokens: Mapping[str, int]


class InFlight:
    """Prompt tokens of requests that were sent and have no first token, by engine."""

    def __init__(self) -> None:
        self._sent: dict[str, dict[str, SentRequest]] = {}
        self._peers: dict[str, _PeerDigest] = {}

    def add(self, upstream_id: str, request_id: str, sent: SentRequest) -> None:
        """Count a request that is being sent."""
        self._sent.setdefault(upstream_id, {})[request_id] = sent

    def remove(self, upstream_id: str, request_id: str) -> None:
        """Stop counting a request that has its first token or has ended."""
        waiting = self._sent.get(upstream_id, {})
        waiting.pop(request_id, None)
        if not waiting:
            self._sent.pop(upstream_id, None)

    def own_tokens(self, upstream_id: str, since_ms: float) -> int:
        """Return this instance's waiting tokens that were sent after ``since_ms``."""
        waiting = self._sent.get(upstream_id)
        if not waiting:
            return 0
        return sum(
            s.n_missed_tokens for s in waiting.values() if s.sent_at_ms > since_ms
        )

    def digest(self, now_ms: float, max_age_ms: float) -> dict[str, int]:
        """Return the waiting tokens of recent sends by engine, for the peers."""
        stale = [
            (upstream_id, request_id)
            for upstream_id, waiting in self._sent.items()
            for request_id, sent in waiting.items()
            if now_ms - sent.sent_at_ms > SENT_TTL_MS
        ]
        for upstream_id, request_id in stale:
            self.remove(upstream_id, request_id)
        # Instances are replaced often, and their replacements have other ids, so old
        # digests would accumulate.
        self._peers = {
            instance_id: digest
            for instance_id, digest in self._peers.items()
            if now_ms - digest.received_at_ms < PEER_TTL_MS
        }
        totals = {
            upstream_id: self.own_tokens(upstream_id, now_ms - max_age_ms)
            for upstream_id in self._sent
        }
        return {upstream_id: n for upstream_id, n in totals.items() if n}

    def note_peer(
        self, instance_id: str, n_tokens: Mapping[str, int], now_ms: float
    ) -> None:
        """Replace the last digest of a peer."""
        self._peers[instance_id] = _PeerDigest(now_ms, n_tokens)

    def peer_tokens(self, upstream_id: str, now_ms: float) -> int:
        """Return the tokens that peers sent there recently."""
        return sum(
            digest.n_tokens.get(upstream_id, 0)
            for digest in self._peers.values()
            if now_ms - digest.received_at_ms < PEER_TTL_MS
        )
