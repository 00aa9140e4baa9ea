"""Tracks which upstreams are leaving; any one of three sources is enough."""

from collections.abc import Iterable
from typing import Literal

#: ``list`` is the platform's instance list, ``report`` the upstream's own load report,
#: ``peer`` another instance.
Source = Literal["list", "report", "peer"]

#: A peer's report expires after this time unless the peer repeats it.
PEER_TTL_MS = 10_000.0


class LeavingTracker:
    """Reports that upstreams are leaving, by source."""

    def __init__(self) -> None:
        self._own: dict[Source, set[str]] = {"list": set(), "report": set()}
        self._peers: dict[str, float] = {}

    def note(self, source: Source, upstream_id: str, is_leaving: bool) -> None:
        """Record what the instance list or the upstream itself reports."""
        if is_leaving:
            self._own[source].add(upstream_id)
        else:
            self._own[source].discard(upstream_id)

    def note_peer(self, upstream_ids: Iterable[str], now_ms: float) -> None:
        """Record upstreams that a peer knows directly to be leaving."""
        for upstream_id in upstream_ids:
            self._peers[upstream_id] = now_ms + PEER_TTL_MS

    def forget_peers(self, upstream_id: str) -> None:
        """Drop the peers' reports, because a new incarnation of the upstream runs."""
        self._peers.pop(upstream_id, None)

    def is_leaving(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether the upstream is leaving and must get no new work."""
        if any(upstream_id in reported for reported in self._own.values()):
            return True
        return self._peers.get(upstream_id, 0.0) > now_ms

    def directly_reported(self) -> tuple[str, ...]:
        """Return the upstreams that the list or they themselves report as leaving.

        These are passed on to peers. Reports of peers are left out; otherwise the
        instances would renew each other's reports for ever.
        """
        return tuple(sorted(self._own["list"] | self._own["report"]))
