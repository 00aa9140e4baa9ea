"""An instance's copy of the store's upstreams, with the changes that peers follow.

The store itself or peers update it. It is not thread-safe: it is used on the event
loop's thread only.
"""

from collections.abc import Callable, Iterable

from ..catalog.change_log import ChangeLog, ChangeWindow
from ..catalog.upstreams import (
    Incarnation,
    Upstream,
    UpstreamChange,
    UpstreamDirectory,
    oddity,
)
from ..events import gateway as events
from ..telemetry import Telemetry
from .store_contact import LOST_AFTER_MS, StoreContact


class UpstreamReplica:
    """Applies listings and changes of upstreams to the directory, and logs them.

    Parameters
    ----------
    directory : UpstreamDirectory
        The upstreams that are known.
    store_contact : StoreContact
        How old the store's newest confirmation is.
    on_listed : callable
        Called with changed entries from the store before they are applied.
    on_applied : callable
        Called after upstreams may have changed, before the changes are logged.
    log_undecodable : callable
        ``log_undecodable(what, reason)`` logs an entry that can't be used.
    now_ms : callable
        Returns monotonic time in milliseconds.
    telemetry : Telemetry
        Receives log lines.

    Attributes
    ----------
    has_listing : bool
        Whether a full listing has arrived from the store or a peer.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        store_contact: StoreContact,
        on_listed: Callable[[Iterable[Upstream]], None],
        on_applied: Callable[[], None],
        log_undecodable: Callable[[str, str], None],
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self.has_listing = False
        self._directory = directory
        self._store_contact = store_contact
        self._on_listed = on_listed
        self._on_applied = on_applied
        self._log_undecodable = log_undecodable
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._changes = ChangeLog()

    @property
    def revision(self) -> int:
        """Store revision up to which the upstreams are complete, 0 before any."""
        return self._directory.revision

    def replace(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Replace the upstreams by a full listing, which the store confirms.

        A listing older than the known state is ignored.
        """
        if revision < self.revision:
            return
        before = self._states()
        self._directory.replace(upstreams, revision, self._now_ms())
        self.has_listing = True
        self._changes.restart(revision)
        self._log_changes(before)

    def replace_from_peer(
        self, upstreams: Iterable[Upstream], revision: int, store_age_ms: int
    ) -> None:
        """Replace the upstreams by a peer's listing if that is newer.

        The store confirmed it ``store_age_ms`` ago, -1 for never.
        """
        if revision <= self.revision:
            return
        if 0 <= store_age_ms <= LOST_AFTER_MS:
            self._store_contact.on_confirmed(store_age_ms)
            self.replace(upstreams, revision)
            return
        self._copy(upstreams, revision)

    def _copy(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Replace the upstreams by a peer's listing while the store is unreachable."""
        before = self._states()
        self._directory.copy(upstreams, revision)
        self.has_listing = True
        self._changes.restart(revision)
        self._log_changes(before)

    def change(
        self, changed: Iterable[Upstream], removed: Iterable[str], revision: int
    ) -> None:
        """Apply changes of the upstreams from the store.

        Changes that are older than the known state, which peers may have told
        meanwhile, are ignored.
        """
        changed, removed = tuple(changed), tuple(removed)
        if revision <= self.revision or not (changed or removed):
            self._directory.confirm(max(revision, self.revision), self._now_ms())
            return
        before = self._states()
        self._on_listed(changed)
        self._directory.apply(changed, removed, revision, self._now_ms())
        # Also those that change nothing here: a peer may know an entry's value that was
        # written and overwritten between two calls of this instance.
        changes = [UpstreamChange(revision, name, None) for name in removed]
        changes += [UpstreamChange(revision, u.upstream_id, u) for u in changed]
        self._changes.record(changes, self._now_ms())
        self._log_changes(before)

    def follow(self, window: ChangeWindow, revision: int) -> bool:
        """Apply a peer's changes up to ``revision``; return whether none is missing."""
        if revision <= self.revision:
            return True
        if not self.has_listing or window.base_revision > self.revision:
            return False
        changes = [c for c in window.changes if c.revision > self.revision]
        before = self._states()
        for change in changes:
            self._apply(change)
        self._directory.confirm(revision, self._now_ms())
        self._changes.record(changes, self._now_ms())
        if changes:
            self._log_changes(before)
        return True

    def recent_changes(self, duration_ms: float, n_max: int) -> ChangeWindow:
        """Return the changes that were learnt within ``duration_ms``, for peers."""
        return self._changes.window(self._now_ms() - duration_ms, n_max)

    def expire(self) -> None:
        """Drop upstreams that are still missing some time after the store came back."""
        if self._store_contact.check():
            self._directory.on_store_lost()
        if not self._directory.has_missing:
            return
        before = self._states()
        self._directory.expire(self._now_ms())
        self._log_changes(before)

    def on_store_failed(self, reason: str) -> None:
        """Record that a call to the store failed.

        The known upstreams are kept once the store counts as lost. A single call that
        fails is no outage: an entry that is removed then has not lapsed.
        """
        self._store_contact.on_call_failed(reason)
        if self._store_contact.is_lost:
            self._directory.on_store_lost()

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream that a peer lists can be used; log why not.

        Peers of an older build forward odd entries of the store.
        """
        reason = oddity(upstream)
        if reason:
            self._log_undecodable(upstream.upstream_id, reason)
        return not reason

    def _apply(self, change: UpstreamChange) -> None:
        changed = [] if change.upstream is None else [change.upstream]
        removed = [change.upstream_id] if change.upstream is None else []
        now_ms = self._now_ms()
        self._directory.apply(changed, removed, change.revision, now_ms)

    def _states(self) -> dict[Incarnation, tuple[str, str]]:
        return {
            upstream.incarnation: (
                upstream.service,
                "draining" if upstream.is_draining else "ready",
            )
            for upstream in self._directory.all()
        }

    def _log_changes(self, before: dict[Incarnation, tuple[str, str]]) -> None:
        after = self._states()
        self._on_applied()
        for incarnation in before.keys() | after.keys():
            if before.get(incarnation) == after.get(incarnation):
                continue
            service, state = after.get(incarnation) or (before[incarnation][0], "gone")
            self._telemetry.log(
                events.UPSTREAM_CHANGED,
                upstream_id=incarnation[0],
                service=service,
                state=state,
                revision=self._directory.revision,
            )
