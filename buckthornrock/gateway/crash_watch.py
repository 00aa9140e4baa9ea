"""Finds out whether a broken attempt was the crash of its upstream.

A connection breaks for many reasons. It is the crash of the upstream if the upstream
accepts no connection afterwards, although it is in service. A process that ends may
close its connections before its listener, so that one trial right away isn't enough.

Only a response that ended whole shows that the parts of its prompt crash no engine: an
engine may write events before it crashes.
"""

import asyncio
from collections.abc import Callable, Coroutine

from ..catalog.upstreams import Incarnation, Upstream, UpstreamDirectory
from ..events import gateway as events
from ..scheduling.prompt import PromptPart, PromptShape
from ..telemetry import Telemetry
from ..wire.numeric_ids import incarnation_number, part_number
from .crash_findings import CrashFindings
from .pool import ConnectionPool

#: Attempts that break within this time of a failed trial connection share it: an
#: incarnation that crashed does not come back.
TRIAL_LIFETIME_MS = 1_000.0
#: The same for a trial that succeeded, after which the upstream may still crash.
PASSED_TRIAL_LIFETIME_MS = 50.0
#: Time within which a process that ends has closed its listener too.
EXIT_MS = 100.0


def crash_part_number(model: str, part_id: str) -> int:
    """Return the numeric id of a part that engines of any account may crash on."""
    return part_number(f"crash/{model}", part_id)


def crash_parts(prompt: PromptShape | None) -> dict[int, PromptPart]:
    """Return the shared parts of a prompt by their numeric ids."""
    if prompt is None:
        return {}
    return {crash_part_number(prompt.model, p.part_id): p for p in prompt.shared}


class WatchedAttempt:
    """One attempt at an upstream, and whether it had an event of its response.

    Attributes
    ----------
    has_event : bool
        Whether the upstream has sent at least one event.
    """

    def __init__(
        self,
        request_id: str,
        upstream: Upstream,
        parts: dict[int, PromptPart],
        is_repeat: bool,
    ) -> None:
        self.request_id = request_id
        self.upstream = upstream
        self.parts = parts
        self.is_repeat = is_repeat
        self.has_event = False


class CrashWatch:
    """Examines broken attempts of one instance."""

    def __init__(
        self,
        pool: ConnectionPool,
        directory: UpstreamDirectory,
        findings: CrashFindings,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._pool = pool
        self._directory = directory
        self._findings = findings
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._trials: dict[Incarnation, tuple[float, asyncio.Task[bool]]] = {}
        self._examinations: set[asyncio.Task[bool]] = set()
        self._in_flight: dict[WatchedAttempt, Callable[[], None]] = {}
        findings.on_quarantined = self._abort_attempts

    def begin(self, attempt: WatchedAttempt, abort: Callable[[], None]) -> None:
        """Watch an attempt that is sent now; ``abort`` closes its connection."""
        self._in_flight[attempt] = abort
        self._findings.on_sending(attempt.request_id, attempt.parts)

    def end(self, attempt: WatchedAttempt) -> None:
        """Stop watching an attempt."""
        self._in_flight.pop(attempt, None)

    def on_event(self, attempt: WatchedAttempt) -> None:
        """Record that events of an attempt have arrived."""
        attempt.has_event = True

    def on_whole(self, attempt: WatchedAttempt) -> None:
        """Record that the response of an attempt ended whole."""
        self._findings.on_whole(attempt.parts)

    def on_closed(self, attempt: WatchedAttempt) -> None:
        """Examine a response that ended with its connection, as a crash would end it.

        The examination goes on in the background.
        """
        if not attempt.parts:
            return
        examination = self._start(self._examine_later(attempt, self._now_ms()))
        examination.add_done_callback(
            lambda task: None if _is_crash(task) else self.on_whole(attempt)
        )

    async def on_broken(self, attempt: WatchedAttempt) -> bool:
        """Return whether a crash broke off an attempt, as far as it shows at once.

        The examination goes on if the caller is cancelled.
        """
        return await asyncio.shield(self._start(self._examine(attempt)))

    def _start(self, examine: Coroutine[None, None, bool]) -> asyncio.Task[bool]:
        examination = asyncio.ensure_future(examine)
        self._examinations.add(examination)
        examination.add_done_callback(self._examinations.discard)
        return examination

    async def _examine(self, attempt: WatchedAttempt) -> bool:
        broken_at_ms = self._now_ms()
        if await self._has_crashed(attempt.upstream):
            self._report(attempt, broken_at_ms)
            return True
        self._start(self._examine_later(attempt, broken_at_ms))
        return False

    async def _examine_later(self, attempt: WatchedAttempt, ended_at_ms: float) -> bool:
        await asyncio.sleep(EXIT_MS / 1000.0)
        if not await self._has_crashed(attempt.upstream):
            return False
        self._report(attempt, ended_at_ms)
        return True

    async def _has_crashed(self, upstream: Upstream) -> bool:
        trial = self._trial(upstream, self._now_ms())
        return not await trial and self._is_in_service(upstream)

    def _report(self, attempt: WatchedAttempt, ended_at_ms: float) -> None:
        self._telemetry.log(
            events.ENGINE_CRASHED,
            request_id=attempt.request_id,
            upstream_id=attempt.upstream.upstream_id,
            has_event=attempt.has_event,
            parts=[
                f"{part.part_id}={number}" for number, part in attempt.parts.items()
            ],
        )
        upstream = incarnation_number(*attempt.upstream.incarnation)
        self._findings.on_crash(upstream, attempt.parts, ended_at_ms, attempt.is_repeat)

    def _abort_attempts(self, part: int) -> None:
        """Break off attempts with a quarantined part before they crash an engine."""
        for attempt, abort in list(self._in_flight.items()):
            if part in attempt.parts and not attempt.has_event:
                abort()

    def _trial(self, upstream: Upstream, now_ms: float) -> asyncio.Task[bool]:
        self._trials = {
            incarnation: (at_ms, task)
            for incarnation, (at_ms, task) in self._trials.items()
            if now_ms - at_ms < _trial_lifetime_ms(task)
        }
        if upstream.incarnation not in self._trials:
            task = asyncio.ensure_future(self._pool.can_connect(upstream))
            self._trials[upstream.incarnation] = now_ms, task
        return self._trials[upstream.incarnation][1]

    def _is_in_service(self, upstream: Upstream) -> bool:
        """Return whether the upstream is not known to be leaving or gone."""
        known = self._directory.get(upstream.upstream_id)
        if known is None or known.incarnation != upstream.incarnation:
            return False
        return not known.is_draining


def _is_crash(examination: asyncio.Task[bool]) -> bool:
    return not examination.cancelled() and examination.result()


def _trial_lifetime_ms(trial: asyncio.Task[bool]) -> float:
    has_passed = trial.done() and not trial.cancelled() and trial.result()
    return PASSED_TRIAL_LIFETIME_MS if has_passed else TRIAL_LIFETIME_MS
