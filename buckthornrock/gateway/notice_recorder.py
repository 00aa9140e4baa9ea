"""Records what upstreams say of themselves: that they leave, or ask for quiet.

It is not thread-safe: it is used on the event loop's thread only.
"""

from collections.abc import Callable

from ..catalog.upstream_notices import Notice, UpstreamNotices, granted_quiet_ms
from ..catalog.upstreams import Incarnation, Upstream
from ..events import gateway as events
from ..telemetry import Telemetry
from .state_observers import StateObservers


class NoticeRecorder:
    """Adds notices to the directory's, logs new ones and tells peers who leaves."""

    def __init__(
        self,
        notices: UpstreamNotices,
        observers: StateObservers,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._notices = notices
        self._observers = observers
        self._now_ms = now_ms
        self._telemetry = telemetry

    def on_notice(self, upstream: Upstream, notice: Notice) -> None:
        """Record what an upstream says of itself in an answer to this instance."""
        incarnation = upstream.incarnation
        if notice.is_leaving and self._on_leaving(incarnation, "answer"):
            self._observers.on_leaving(incarnation)
            self._observers.on_urgent()
        if not notice.asks_for_quiet:
            return
        quiet_ms = granted_quiet_ms(notice)
        if self._notices.on_quiet(incarnation, quiet_ms, self._now_ms()):
            self._telemetry.log(
                events.QUIET_ASKED,
                upstream_id=upstream.upstream_id,
                service=upstream.service,
                asked_ms=notice.quiet_ms,
                quiet_ms=quiet_ms,
            )

    def on_peer_leaving(self, incarnation: Incarnation, peer: str) -> None:
        """Record that an upstream said to a peer that it leaves."""
        self._on_leaving(incarnation, peer)

    def _on_leaving(self, incarnation: Incarnation, source: str) -> bool:
        is_new = self._notices.on_leaving(incarnation, self._now_ms())
        if is_new:
            upstream_id, _ = incarnation
            self._telemetry.log(
                events.UPSTREAM_LEAVING, upstream_id=upstream_id, source=source
            )
        return is_new
