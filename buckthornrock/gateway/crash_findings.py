"""What this instance and its peers found out about crashes of engines.

It adds log lines and messages to peers to the decisions of ``CrashSuspects``. It is not
thread-safe: it is used on the event loop's thread only.
"""

from collections.abc import Callable, Iterable

from ..events import gateway as events
from ..scheduling.crash_suspects import (
    CrashSuspects,
    Quarantine,
    QuarantinedPart,
    Suspicion,
)
from ..telemetry import Telemetry

#: Source of this instance's own findings in log lines.
OWN = "own"


class CrashFindings:
    """Suspects and quarantined parts, with the callbacks that tell peers.

    Attributes
    ----------
    on_quarantined : callable
        Called with each part that is quarantined, on whose word it may be.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._suspects = suspects
        self._now_ms = now_ms
        self._telemetry = telemetry
        self.on_quarantined: Callable[[int], None] = lambda _: None
        self.set_observers(lambda _: None, lambda *_: None, lambda: None)

    def set_observers(
        self,
        on_suspicion: Callable[[Suspicion], None],
        on_sound: Callable[[int, float], None],
        on_urgent: Callable[[], None],
    ) -> None:
        """Set the callbacks that tell peers; ``on_urgent`` sends a digest at once."""
        self._notify_suspicion = on_suspicion
        self._notify_sound = on_sound
        self._publish_now = on_urgent

    def on_crash(
        self, upstream: int, parts: Iterable[int], at_ms: float, is_repeat: bool = False
    ) -> None:
        """Record an own attempt that a crash broke off.

        ``parts`` are the shared parts of its prompt, in order; ``is_repeat`` tells that
        a crash broke off an earlier attempt of the request too.
        """
        for depth, part in enumerate(parts):
            sound_at_ms = self._suspects.sound_at_ms(part)
            suspicion = Suspicion(upstream, part, depth, at_ms, is_repeat, sound_at_ms)
            if self._hold(suspicion):
                self._notify_suspicion(suspicion)
        self._publish_now()

    def on_whole(self, parts: Iterable[int]) -> None:
        """Record that the response of an own attempt with these parts ended whole."""
        now_ms = self._now_ms()
        for part in parts:
            if self._suspects.on_sound(part, now_ms, now_ms):
                self._notify_sound(part, now_ms)
        self._log_changes(OWN)

    def on_peer_suspicion(self, suspicion: Suspicion) -> None:
        """Record a peer's attempt that a crash broke off."""
        self._hold(suspicion)

    def on_peer_sound(self, part: int, at_ms: float, peer: str) -> None:
        """Record that a peer's attempt with this part ended whole."""
        self._suspects.on_sound(part, at_ms, self._now_ms())
        self._log_changes(peer)

    def on_peer_quarantine(self, part: int, state: Quarantine, peer: str) -> None:
        """Take over a peer's state of a part if it is newer."""
        self._suspects.on_peer_quarantine(part, state, self._now_ms())
        self._log_changes(peer)

    def quarantines(self) -> dict[int, Quarantine]:
        """Return the states of parts for peers."""
        self._judge()
        return self._suspects.quarantines(self._now_ms())

    def find_quarantined(self, parts: Iterable[int]) -> QuarantinedPart | None:
        """Return the part for which a request is refused; None if it may be sent."""
        self._judge()
        return self._suspects.find_quarantined(parts, self._now_ms())

    def peek_quarantined(self, parts: Iterable[int]) -> QuarantinedPart | None:
        """Return what ``find_quarantined`` does, as of the last time it was judged.

        It changes nothing. Digests judge too, so that is at most a period ago.
        """
        return self._suspects.find_quarantined(parts, self._now_ms())

    def quarantined(self) -> list[QuarantinedPart]:
        """Return all quarantined parts, as of the last time they were judged."""
        return self._suspects.active(self._now_ms())

    def on_sending(self, request_id: str, parts: Iterable[int]) -> None:
        """Record that a request is sent, which may probe quarantined parts."""
        probed = self._suspects.begin_probe(parts, self._now_ms())
        for part in probed:
            self._telemetry.log(events.PART_PROBED, request_id=request_id, part=part)
        if probed:
            self._publish_now()

    def _hold(self, suspicion: Suspicion) -> bool:
        is_new = self._suspects.on_suspicion(suspicion, self._now_ms())
        sound_at_ms = self._suspects.sound_at_ms(suspicion.part)
        if is_new and sound_at_ms is not None:
            self._notify_sound(suspicion.part, sound_at_ms)
        return is_new

    def _judge(self) -> None:
        self._suspects.judge(self._now_ms())
        if self._log_changes(OWN):
            self._publish_now()

    def _log_changes(self, source: str) -> bool:
        changes = self._suspects.take_changes()
        for part, state, n_crashes in changes:
            event = events.PART_QUARANTINED if state.is_active else events.PART_RELEASED
            self._telemetry.log(
                event,
                part=part,
                source=source,
                n_crashes=n_crashes,
                n_probes=state.n_probes,
            )
            if state.is_active:
                self.on_quarantined(part)
        return bool(changes)
