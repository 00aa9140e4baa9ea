"""Directory of the live upstreams, each with its last published state.

Pure: the caller passes the time. While the store is unavailable, the directory does
not change. Entries that expired in the store meanwhile are dropped only if they are
still missing after a grace period, which begins when the store is back.
"""

import re
from collections.abc import Iterable
from typing import NamedTuple

from ..runtime.addresses import is_connectable
from ..runtime.decoding import MAX_INT64
from .incarnation import Incarnation
from .upstream_notices import UpstreamNotices

#: Upstreams whose entries expired during an outage register again within this time.
RETURN_GRACE_MS = 2_000.0
#: Bound of an upstream's slots; sums of them must stay within 64 bits.
MAX_SLOTS = 1_000_000
#: Ids are sent in headers.
_UPSTREAM_ID = re.compile(r"[\x21-\x7e]{1,256}")


class Upstream(NamedTuple):
    """One incarnation of an upstream.

    ``started_ms`` (Unix time) distinguishes incarnations with the same id.
    ``weights_versions`` maps each model to the version that is loaded.
    """

    upstream_id: str
    service: str
    address: str
    failure_domain: str
    is_draining: bool
    started_ms: int
    n_slots: int
    weights_versions: dict[str, int]

    @property
    def incarnation(self) -> Incarnation:
        """Key that distinguishes this start of the upstream from others."""
        return self.upstream_id, self.started_ms


def oddity(upstream: Upstream) -> str:
    """Return why an upstream can't be used as it is described, "" if it can."""
    if not _UPSTREAM_ID.fullmatch(upstream.upstream_id):
        return "the id can't be sent in a header"
    if not is_connectable(upstream.address):
        return "the address is not a usable IP:PORT"
    if not 0 <= upstream.n_slots <= MAX_SLOTS:
        return "the number of slots is out of range"
    numbers = (upstream.started_ms, *upstream.weights_versions.values())
    if not all(0 <= number <= MAX_INT64 for number in numbers):
        return "a start time or version is out of range"
    return ""


class UpstreamChange(NamedTuple):
    """An upstream as it was written at a store revision, None if it was removed."""

    revision: int
    upstream_id: str
    upstream: Upstream | None


class UpstreamDirectory:
    """Live upstreams by id.

    Attributes
    ----------
    revision : int
        Store revision that the entries reflect.
    notices : UpstreamNotices
        What the upstreams say of themselves in their answers.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.notices = UpstreamNotices()
        self._upstreams: dict[str, Upstream] = {}
        self._missing_since_ms: dict[str, float] = {}
        self._is_store_lost = False
        self._store_back_at_ms = -RETURN_GRACE_MS

    def replace(
        self, upstreams: Iterable[Upstream], revision: int, now_ms: float
    ) -> None:
        """Replace all entries by a snapshot of the store."""
        found = {upstream.upstream_id: upstream for upstream in upstreams}
        removed = set(self._upstreams) - set(found)
        self.apply(found.values(), removed, revision, now_ms)

    def copy(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Replace all entries by a peer's, if its revision is newer.

        This does not end an outage, as the store itself did not answer.
        """
        if revision <= self.revision:
            return
        self.revision = revision
        self._upstreams = {upstream.upstream_id: upstream for upstream in upstreams}

    def apply(
        self,
        changed: Iterable[Upstream],
        removed: Iterable[str],
        revision: int,
        now_ms: float,
    ) -> None:
        """Apply the store's changes up to ``revision``."""
        self.confirm(revision, now_ms)
        for upstream_id in removed:
            self._remove(upstream_id, now_ms)
        for upstream in changed:
            self._put(upstream)

    def on_store_lost(self) -> None:
        """Record that the store is unavailable."""
        self._is_store_lost = True

    @property
    def has_missing(self) -> bool:
        """Whether any entry is retained that is missing in the store."""
        return bool(self._missing_since_ms)

    def expire(self, now_ms: float) -> list[str]:
        """Drop the entries whose grace period has ended; return their ids."""
        if self._is_store_lost:
            return []
        # The grace period begins when the store is back, so an upstream that leaves
        # within it is kept no longer than one whose entry expired in the outage.
        is_grace_over = now_ms - self._store_back_at_ms >= RETURN_GRACE_MS
        since_ms = now_ms - RETURN_GRACE_MS
        gone = [
            key
            for key, at_ms in self._missing_since_ms.items()
            if is_grace_over or at_ms < since_ms
        ]
        for upstream_id in gone:
            del self._missing_since_ms[upstream_id]
            self._upstreams.pop(upstream_id, None)
        return gone

    def get(self, upstream_id: str) -> Upstream | None:
        """Return the upstream, even if it is draining."""
        return self._upstreams.get(upstream_id)

    def all(self) -> list[Upstream]:
        """Return all known upstreams, including draining ones."""
        return list(self._upstreams.values())

    def registered(self) -> list[Upstream]:
        """Return the upstreams whose entries are in the store."""
        return [
            upstream
            for upstream_id, upstream in self._upstreams.items()
            if upstream_id not in self._missing_since_ms
        ]

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of ``service`` that take new work.

        Those that ask for quiet are among them, as they will take work again.
        """
        ready = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and not upstream.is_draining
        ]
        if not len(self.notices):
            return ready
        return [u for u in ready if not self.notices.is_leaving(u.incarnation)]

    def cache_only(self, now_ms: float) -> list[Upstream]:
        """Return the upstreams that take no work, but whose caches may be fetched."""
        incarnations = self.notices.newly_leaving(now_ms)
        named = [self._upstreams.get(upstream_id) for upstream_id, _ in incarnations]
        return [u for u in named if u is not None and u.incarnation in incarnations]

    def retain_notices(self, now_ms: float) -> None:
        """Forget the notices of upstreams that are gone for long."""
        listed = {upstream.incarnation for upstream in self._upstreams.values()}
        self.notices.retain(listed, now_ms)

    def confirm(self, revision: int, now_ms: float) -> None:
        """Record that the store answers and has no other entries at ``revision``."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._store_back_at_ms = now_ms
        self.revision = revision

    def _put(self, upstream: Upstream) -> None:
        self._missing_since_ms.pop(upstream.upstream_id, None)
        self._upstreams[upstream.upstream_id] = upstream

    def _remove(self, upstream_id: str, now_ms: float) -> None:
        if upstream_id not in self._upstreams:
            return
        if now_ms - self._store_back_at_ms < RETURN_GRACE_MS:
            self._missing_since_ms.setdefault(upstream_id, now_ms)
            return
        self._missing_since_ms.pop(upstream_id, None)
        del self._upstreams[upstream_id]
