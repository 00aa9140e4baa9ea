"""Tells peers which parts are suspected of crashing engines, sound or quarantined.

Suspicions and sound parts are updates, which relays forward. Quarantines are state:
every digest lists some in turn, so that an instance that starts later learns them too.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from ..scheduling.crash_suspects import Quarantine, Suspicion
from ..wire.digests import (
    CrashSuspicion,
    Digest,
    PartQuarantine,
    SoundPart,
)
from .crash_findings import CrashFindings
from .gossip_queue import UpdateQueues

#: Quarantines in one digest.
MAX_QUARANTINES_LISTED = 8


class SoundUpdate(NamedTuple):
    """A part with which an attempt ended whole at ``at_ms``."""

    part: int
    at_ms: float


class CrashGossip:
    """Fills and applies the fields of digests that concern crashes."""

    def __init__(
        self,
        findings: CrashFindings,
        now_ms: Callable[[], float],
        on_urgent: Callable[[], None],
    ) -> None:
        self._findings = findings
        self._now_ms = now_ms
        self._updates = UpdateQueues(_key)
        self._n_listed = 0
        findings.set_observers(self._on_suspicion, self._on_sound, on_urgent)

    def fill(self, digest: Digest) -> None:
        """Add this instance's findings to a digest for all contacts."""
        _add_updates(digest, self._updates.next_for_all(), self._now_ms())
        digest.quarantines = self._next_quarantines()

    def fill_for_followers(self, digest: Digest) -> None:
        """Add what other relays found to a digest for followers."""
        _add_updates(digest, self._updates.next_for_followers(), self._now_ms())

    def apply(self, digest: Digest) -> None:
        """Apply a peer's findings, and forward its updates."""
        now_ms, findings = self._now_ms(), self._findings
        for item in digest.suspicions:
            at_ms = now_ms - item.age_ms
            known_sound = item.sound_age_ms >= 0
            sound_at_ms = now_ms - item.sound_age_ms if known_sound else None
            suspicion = Suspicion(
                item.upstream,
                item.part,
                item.depth,
                at_ms,
                item.is_repeat,
                sound_at_ms,
            )
            findings.on_peer_suspicion(suspicion)
            self._updates.forward(suspicion, digest.scope, now_ms)
        for sound in digest.sound_parts:
            at_ms = now_ms - sound.age_ms
            findings.on_peer_sound(sound.part, at_ms, digest.instance_id)
            update = SoundUpdate(sound.part, at_ms)
            self._updates.forward(update, digest.scope, now_ms)
        for listed in digest.quarantines:
            state = Quarantine(
                listed.version,
                listed.is_active,
                listed.n_probes,
                now_ms - listed.age_ms,
            )
            findings.on_peer_quarantine(listed.part, state, digest.instance_id)

    def _on_suspicion(self, suspicion: Suspicion) -> None:
        self._updates.add(suspicion, self._now_ms())

    def _on_sound(self, part: int, at_ms: float) -> None:
        self._updates.add(SoundUpdate(part, at_ms), self._now_ms())

    def _next_quarantines(self) -> list[PartQuarantine]:
        """Return the next quarantines in rotation."""
        now_ms, known = self._now_ms(), self._findings.quarantines()
        n_listed = min(MAX_QUARANTINES_LISTED, len(known))
        rotation = itertools.islice(
            itertools.cycle(known.items()), self._n_listed, None
        )
        self._n_listed = (self._n_listed + n_listed) % max(1, len(known))
        return [
            PartQuarantine(
                part,
                state.version,
                state.is_active,
                state.n_probes,
                round(now_ms - state.changed_at_ms),
            )
            for part, state in itertools.islice(rotation, n_listed)
        ]


def _add_updates(
    digest: Digest, updates: list[Suspicion | SoundUpdate], now_ms: float
) -> None:
    digest.suspicions = digest.suspicions + [
        CrashSuspicion(
            item.upstream,
            item.part,
            item.depth,
            _age_ms(item.at_ms, now_ms),
            item.is_repeat,
            -1 if item.sound_at_ms is None else _age_ms(item.sound_at_ms, now_ms),
        )
        for item in updates
        if isinstance(item, Suspicion)
    ]
    digest.sound_parts = digest.sound_parts + [
        SoundPart(item.part, _age_ms(item.at_ms, now_ms))
        for item in updates
        if isinstance(item, SoundUpdate)
    ]


def _age_ms(at_ms: float, now_ms: float) -> int:
    return max(0, round(now_ms - at_ms))


def _key(item: Suspicion | SoundUpdate) -> tuple[int, ...]:
    if isinstance(item, Suspicion):
        return item.upstream, item.part, item.is_repeat
    return (item.part,)
