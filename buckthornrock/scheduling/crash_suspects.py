"""Finds the shared prompt parts that crash engines, from what crashes have in common.

A part that crashes engines does so whenever an engine begins to answer a prompt with
it, so that no attempt with it ever ends whole; it may have events before. So every part
that was in flight at a crash is a suspect, until some attempt with it ends whole: that
shows that the part is sound. A suspect of several crashes is quarantined: its requests
are refused, except for a rare probe.

Few crashes are enough for a part that was never seen sound, more are needed for others.
A crash that a quarantined part explains is held against no other part. If several
parts were at the same crashes, one that was never seen sound is quarantined before
others, and of these the one that stands last in its prompt, the least widely shared.

Pure: the caller passes the time. Parts and upstreams are named by numeric ids.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

#: Crashes after which a part is quarantined, if it was never seen sound and if it was.
N_CRASHES = 2
N_CRASHES_OF_SOUND_PART = 4
#: Crashes of several upstreams within this time may have a common cause, such as a
#: power failure. They count as one against a part that was seen sound, whose requests
#: any such cause meets.
SAME_CAUSE_MS = 100.0
#: Crashes at once that make up for a second cause, against a part never seen sound.
#: A common cause seldom meets as many of the first few requests with a part.
N_CRASHES_AT_ONCE = 3
#: Reports of a crash of one upstream within this time are about the same crash.
SAME_CRASH_MS = 1_000.0
#: Time for which reports of a crash are awaited before its cause is looked for. It
#: covers a few digests, by way of relays too.
SETTLE_MS = 300.0
#: Time for which a crash is held against parts, and the most crashes that are kept.
CRASH_LIFETIME_MS = 3_600_000.0
MAX_CRASHES = 256
#: Most parts of one crash that are kept.
MAX_PARTS_PER_CRASH = 128
#: Parts that were seen sound last.
MAX_SOUND_PARTS = 4_096
#: Time from the quarantine to the first probe; each further probe waits longer by
#: ``PROBE_BACKOFF``, as every probe may crash an engine.
FIRST_PROBE_AFTER_MS = 30_000.0
PROBE_BACKOFF = 4.0
#: A released part is remembered for this long, so that no peer's older word
#: quarantines it again.
RELEASED_LIFETIME_MS = 120_000.0
#: A quarantine ends if the part is not seen for this long.
QUARANTINE_LIFETIME_MS = 21_600_000.0
MAX_QUARANTINED = 64
#: Shortest Retry-After of a request with a quarantined part.
MIN_RETRY_AFTER_MS = 1_000.0


class Suspicion(NamedTuple):
    """A part that was in flight at the crash of an upstream.

    ``depth`` is the position of the part in its prompt. ``is_repeat`` tells that the
    request was sent there after it had been in flight at another crash.
    ``sound_at_ms`` is when the reporter last saw the part sound, None if it never did.
    """

    upstream: int
    part: int
    depth: int
    at_ms: float
    is_repeat: bool = False
    sound_at_ms: float | None = None


class Quarantine(NamedTuple):
    """Whether a part is quarantined; the highest ``version`` is the newest state."""

    version: int
    is_active: bool
    n_probes: int
    changed_at_ms: float

    @property
    def rank(self) -> tuple[int, bool]:
        """Order among the states that instances know: newest last, release last."""
        return self.version, not self.is_active


class QuarantineChange(NamedTuple):
    """A part that was quarantined or released, on the word of ``n_crashes`` crashes."""

    part: int
    quarantine: Quarantine
    n_crashes: int


class QuarantinedPart(NamedTuple):
    """Why a request is refused, and when its part may be probed."""

    part: int
    retry_after_ms: float


class _Crash:
    """One crash of one upstream and the depth of each part that was in flight.

    ``repeated`` are the parts of requests that were in flight at a crash before.
    """

    def __init__(self, upstream: int, at_ms: float) -> None:
        self.upstream = upstream
        self.at_ms = at_ms
        self.depths: dict[int, int] = {}
        self.repeated: set[int] = set()
        self.is_judged = False


class CrashSuspects:
    """Crashes, suspects and quarantined parts, as one instance knows them.

    Parameters
    ----------
    probe_delay_ms : float
        Added to the time of each probe; it differs between instances, so that one
        probes and tells the others.
    """

    def __init__(self, probe_delay_ms: float = 0.0) -> None:
        self._probe_delay_ms = probe_delay_ms
        self._crashes: list[_Crash] = []
        self._suspected: set[int] = set()
        self._sound_at_ms: OrderedDict[int, float] = OrderedDict()
        self._quarantines: dict[int, Quarantine] = {}
        self._changes: list[QuarantineChange] = []

    def on_suspicion(self, suspicion: Suspicion, now_ms: float) -> bool:
        """Hold a crash against a part; return whether this was not known yet."""
        if suspicion.sound_at_ms is not None:
            self.on_sound(suspicion.part, suspicion.sound_at_ms, now_ms)
        crash = self._crash(suspicion, now_ms)
        is_known = suspicion.part in crash.depths
        if is_known and suspicion.is_repeat <= (suspicion.part in crash.repeated):
            return False
        if not is_known and len(crash.depths) >= MAX_PARTS_PER_CRASH:
            return False
        if suspicion.is_repeat:
            crash.repeated.add(suspicion.part)
        crash.depths[suspicion.part] = suspicion.depth
        crash.is_judged = False
        self._suspected.add(suspicion.part)
        return True

    def judge(self, now_ms: float) -> None:
        """Look for the cause of each crash whose reports have arrived."""
        settled = [
            crash
            for crash in self._crashes
            if not crash.is_judged and now_ms - crash.at_ms >= SETTLE_MS
        ]
        for crash in settled:
            crash.is_judged = True
        for crash in settled:
            self._quarantine_suspects(crash, now_ms)

    def on_sound(self, part: int, at_ms: float, now_ms: float) -> bool:
        """Record that an attempt with a part ended whole.

        Returns whether the part was a suspect or quarantined.

        The part is released if it is quarantined.
        """
        known_at_ms = self._sound_at_ms.pop(part, at_ms)
        self._sound_at_ms[part] = max(known_at_ms, at_ms)
        if len(self._sound_at_ms) > MAX_SOUND_PARTS:
            self._sound_at_ms.popitem(last=False)
        is_released = self._release(part, at_ms, now_ms)
        if part not in self._suspected:
            return is_released
        if not self._evidence(part):
            self._suspected.discard(part)
        return True

    def sound_at_ms(self, part: int) -> float | None:
        """Return when a part was last seen sound, None if it never was."""
        return self._sound_at_ms.get(part)

    def find_quarantined(
        self, parts: Iterable[int], now_ms: float
    ) -> QuarantinedPart | None:
        """Return the part for which a request is refused; None if it may be sent."""
        found = None
        for part in parts:
            wait_ms = self._probe_wait_ms(part, now_ms)
            if wait_ms > 0.0 and (found is None or wait_ms > found.retry_after_ms):
                retry_after_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
                found = QuarantinedPart(part, retry_after_ms)
        return found

    def active(self, now_ms: float) -> list[QuarantinedPart]:
        """Return the quarantined parts, with the time until each may be probed."""
        return [
            QuarantinedPart(part, self._probe_wait_ms(part, now_ms))
            for part, quarantine in self._quarantines.items()
            if quarantine.is_active
        ]

    def begin_probe(self, parts: Iterable[int], now_ms: float) -> list[int]:
        """Record that a request is sent; return the quarantined parts that it probes.

        The caller has made sure that the request may be sent, and tells peers at once.
        """
        probed = []
        for part in parts:
            quarantine = self._quarantines.get(part)
            if quarantine is None or not quarantine.is_active:
                continue
            n_probes = quarantine.n_probes + 1
            version = quarantine.version + 1
            self._quarantines[part] = Quarantine(version, True, n_probes, now_ms)
            probed.append(part)
        return probed

    def on_peer_quarantine(
        self, part: int, quarantine: Quarantine, now_ms: float
    ) -> None:
        """Take over a peer's state of a part if it is newer."""
        known = self._quarantines.get(part)
        if known is not None and known.rank >= quarantine.rank:
            return
        if now_ms - quarantine.changed_at_ms >= _lifetime_ms(quarantine):
            return
        self._set(part, quarantine)
        if known is None or known.is_active != quarantine.is_active:
            self._changes.append(QuarantineChange(part, quarantine, 0))

    def quarantines(self, now_ms: float) -> dict[int, Quarantine]:
        """Return the state of each part that is or was quarantined, for peers."""
        self._quarantines = {
            part: quarantine
            for part, quarantine in self._quarantines.items()
            if now_ms - quarantine.changed_at_ms < _lifetime_ms(quarantine)
        }
        return self._quarantines

    def take_changes(self) -> list[QuarantineChange]:
        """Return the parts that were quarantined or released since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def n_crashes(self, part: int) -> int:
        """Return how many unexplained causes of crashes are held against a part.

        Crashes close to each other count as one, unless a request was sent again in
        between: it was not in flight when a common cause began. Several of them count
        as two if the part was never seen sound.
        """
        judged = [crash for crash in self._evidence(part) if crash.is_judged]
        is_known_sound = part in self._sound_at_ms
        n_causes, n_at_once, last_ms = 0, 0, -math.inf
        for crash in sorted(judged, key=lambda crash: crash.at_ms):
            is_apart = crash.at_ms - last_ms > SAME_CAUSE_MS
            n_at_once = 1 if is_apart else n_at_once + 1
            n_causes += is_apart or part in crash.repeated
            n_causes += n_at_once == N_CRASHES_AT_ONCE and not is_known_sound
            last_ms = crash.at_ms
        return n_causes

    def _crash(self, suspicion: Suspicion, now_ms: float) -> _Crash:
        for crash in reversed(self._crashes):
            is_near = abs(crash.at_ms - suspicion.at_ms) < SAME_CRASH_MS
            if crash.upstream == suspicion.upstream and is_near:
                crash.at_ms = min(crash.at_ms, suspicion.at_ms)
                return crash
        oldest_ms = now_ms - CRASH_LIFETIME_MS
        recent = [crash for crash in self._crashes if crash.at_ms > oldest_ms]
        self._crashes = recent[1 - MAX_CRASHES :]
        self._suspected &= {part for c in self._crashes for part in c.depths}
        crash = _Crash(suspicion.upstream, suspicion.at_ms)
        self._crashes.append(crash)
        return crash

    def _evidence(self, part: int) -> list[_Crash]:
        """Return the crashes that are held against a part."""
        sound_at_ms = self._sound_at_ms.get(part)
        return [
            crash
            for crash in self._crashes
            if part in crash.depths
            and (sound_at_ms is None or crash.at_ms > sound_at_ms)
            and not self._is_explained(crash)
        ]

    def _is_explained(self, crash: _Crash) -> bool:
        return any(
            quarantine.is_active and part in crash.depths
            for part, quarantine in self._quarantines.items()
        )

    def _quarantine_suspects(self, crash: _Crash, now_ms: float) -> None:
        """Quarantine the likeliest cause of a crash if it has enough against it.

        Parts of different prompts with as much against them are quarantined together.
        """
        if self._is_explained(crash):
            return
        convicted = {}
        for part, depth in crash.depths.items():
            n_crashes = self.n_crashes(part)
            if n_crashes >= self._limit(part):
                convicted[part] = part not in self._sound_at_ms, n_crashes, depth
        if not convicted:
            return
        worst = max(convicted.values())
        for part, against in convicted.items():
            if against == worst:
                self._quarantine(part, against[1], now_ms)

    def _quarantine(self, part: int, n_crashes: int, now_ms: float) -> None:
        known = self._quarantines.get(part, Quarantine(0, False, 0, 0.0))
        quarantine = Quarantine(known.version + 1, True, known.n_probes, now_ms)
        self._set(part, quarantine)
        self._changes.append(QuarantineChange(part, quarantine, n_crashes))

    def _limit(self, part: int) -> int:
        return N_CRASHES_OF_SOUND_PART if part in self._sound_at_ms else N_CRASHES

    def _release(self, part: int, at_ms: float, now_ms: float) -> bool:
        """Release a part that was sound after its quarantine or its last probe."""
        quarantine = self._quarantines.get(part)
        if quarantine is None or not quarantine.is_active:
            return False
        if at_ms < quarantine.changed_at_ms:
            return False
        version = quarantine.version + 1
        released = Quarantine(version, False, quarantine.n_probes, now_ms)
        self._set(part, released)
        self._changes.append(QuarantineChange(part, released, 0))
        return True

    def _set(self, part: int, quarantine: Quarantine) -> None:
        if part not in self._quarantines and len(self._quarantines) >= MAX_QUARANTINED:
            oldest = min(
                self._quarantines, key=lambda p: self._quarantines[p].changed_at_ms
            )
            del self._quarantines[oldest]
        self._quarantines[part] = quarantine

    def _probe_wait_ms(self, part: int, now_ms: float) -> float:
        """Return how long until a part may be sent, 0 if it may be sent now."""
        quarantine = self._quarantines.get(part)
        if quarantine is None or not quarantine.is_active:
            return 0.0
        probe_at_ms = quarantine.changed_at_ms + _probe_after_ms(quarantine)
        return max(0.0, probe_at_ms + self._probe_delay_ms - now_ms)


def _probe_after_ms(quarantine: Quarantine) -> float:
    return FIRST_PROBE_AFTER_MS * PROBE_BACKOFF**quarantine.n_probes


def _lifetime_ms(quarantine: Quarantine) -> float:
    if not quarantine.is_active:
        return RELEASED_LIFETIME_MS
    return max(QUARANTINE_LIFETIME_MS, 2.0 * _probe_after_ms(quarantine))
