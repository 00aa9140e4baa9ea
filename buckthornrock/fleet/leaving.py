"""Which upstreams are leaving, from three sources; any one of them is enough."""

from collections.abc import Iterable
from typing import Literal

#: ``list`` is the platform's instance list, ``report`` the upstream's own word.
Source = Literal["list", "report", "peer"]

#: A peer's word counts this long, unless the peer repeats it.
PEER_TTL_MS = 10_000.0


class LeavingTracker:
    """Words on leaving upstreams, by source."""

    def __init__(self) -> None:
        self._own: dict[Source, set[str]] = {"list": set(), "report": set()}
        self._peers: dict[str, float] = {}

    def note(self, source: Source, upstream_id: str, is_leaving: bool) -> None:
        """Take in what the list or the upstream itself says."""
        if is_leaving:
            self._own[source].add(upstream_id)
        else:
            self._own[source].discard(upstream_id)

    def note_peer(self, upstream_ids: Iterable[str], now_ms: float) -> None:
        """Take in what a peer was told first-hand."""
        for upstream_id in upstream_ids:
            self._peers[upstream_id] = now_ms + PEER_TTL_MS

    def forget_peers(self, upstream_id: str) -> None:
        """Drop peers' words: a new incarnation of the upstream is there."""
        self._peers.pop(upstream_id, None)

    def is_leaving(self, upstream_id: str, now_ms: float) -> bool:
        """Tell whether the upstream may get no new work."""
        if any(upstream_id in words for words in self._own.values()):
            return True
        return self._peers.get(upstream_id, 0.0) > now_ms

    def first_hand(self) -> tuple[str, ...]:
        """Return what the list and the upstreams say, to be told to peers.

        Peers' words are left out, so that no word goes round for ever.
        """
        return tuple(sorted(self._own["list"] | self._own["report"]))
