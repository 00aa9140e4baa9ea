"""Adaptive concurrency: how much work may be at the engines of one model.

The window is work in tokens an engine. It follows the delay of the first token
beyond the request's own prefill, so that the engines' own queues stay short and an
urgent request finds a place soon.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

#: Smallest and largest window of one engine, in tokens of work.
MIN_WINDOW_TOKENS = 64.0
MAX_WINDOW_TOKENS = 4_000_000.0
#: Samples and time between two steps of the controller.
MIN_SAMPLES = 8
STEP_PERIOD_MS = 200.0
#: Share of the window that must have been used for it to grow.
GROWTH_USE = 0.8
AIMD_DECREASE = 0.85
AIMD_MIN = 0.4
AIMD_INCREASE_TOKENS = 64.0
SLOW_START_GROWTH = 1.5
GRADIENT_MIN = 0.7
GRADIENT_GROWTH = 0.05
#: Factor by which the window must have shrunk to tell a queue from engines' own delay.
OWN_DELAY_SHRINKAGE = 4.0


class WindowSample(NamedTuple):
    """What one step of a controller looks at.

    ``delay_ms`` is the mean delay of first tokens beyond their own prefill,
    ``base_ms`` the lowest such delay ever, ``own_ms`` the part of the delay that
    stayed while the window shrank, ``use`` the greatest used share of the window.
    """

    delay_ms: float
    base_ms: float
    own_ms: float
    use: float


#: ``controller(window_tokens, sample) -> window_tokens``.
Controller = Callable[[float, WindowSample], float]


def aimd(target_delay_ms: float) -> Controller:
    """Grow by a constant, shrink by a factor once the delay passes its target.

    Until the first shrink the window grows by a factor (slow start).
    """
    has_shrunk = False

    def step(window_tokens: float, sample: WindowSample) -> float:
        nonlocal has_shrunk
        if sample.delay_ms > _longest_ms(sample, target_delay_ms):
            has_shrunk = True
            # In proportion, since first tokens that are late by seconds also report
            # late: there is no time for many small steps.
            ratio = _longest_ms(sample, target_delay_ms) / sample.delay_ms
            return window_tokens * max(AIMD_MIN, min(AIMD_DECREASE, ratio))
        if sample.use < GROWTH_USE:
            return window_tokens
        if not has_shrunk:
            return window_tokens * SLOW_START_GROWTH
        return window_tokens + AIMD_INCREASE_TOKENS

    return step


def gradient(target_delay_ms: float) -> Controller:
    """Scale by the ratio of the wanted to the seen delay, plus a little to probe."""

    def step(window_tokens: float, sample: WindowSample) -> float:
        wanted_ms = _longest_ms(sample, target_delay_ms)
        ratio = min(1.0, wanted_ms / max(sample.delay_ms, 1.0))
        if ratio == 1.0 and sample.use < GROWTH_USE:
            return window_tokens
        probe = max(MIN_WINDOW_TOKENS, GRADIENT_GROWTH * window_tokens)
        return window_tokens * max(GRADIENT_MIN, ratio) + probe

    return step


def _longest_ms(sample: WindowSample, target_delay_ms: float) -> float:
    # A base learned while a queue stood contains that queue, so it is allowed for only
    # up to the target or to what a much smaller window did not lessen.
    trusted_ms = max(target_delay_ms, sample.own_ms)
    return target_delay_ms + min(sample.base_ms, trusted_ms)


def fixed(target_delay_ms: float) -> Controller:
    """Keep the window as it is; the baseline of measurements."""
    return lambda window_tokens, sample: window_tokens


CONTROLLERS: dict[str, Callable[[float], Controller]] = {
    "aimd": aimd,
    "gradient": gradient,
    "fixed": fixed,
}


class OwnDelay:
    """Tells the engines' own delay from their queue's by how it follows the window.

    A queue's delay falls with the window, and the engines' own delay stays: the line
    through two points of one shrinkage meets the axis at the delay without a queue.

    Attributes
    ----------
    own_ms : float
        Delay that remains at an empty window, 0 until a shrinkage has shown it.
    """

    def __init__(self) -> None:
        self.own_ms = 0.0
        self._first: tuple[float, float] | None = None

    def observe(
        self, tokens_before: float, tokens_after: float, delay_ms: float
    ) -> None:
        """Take in one step of the window and the mean delay that was seen before it."""
        if tokens_after >= tokens_before:
            self._first = None
            return
        if self._first is None:
            self._first = (tokens_before, delay_ms)
            return
        first_tokens, first_ms = self._first
        if tokens_before * OWN_DELAY_SHRINKAGE > first_tokens:
            return
        slope = (first_ms - delay_ms) / (first_tokens - tokens_before)
        self.own_ms = max(0.0, delay_ms - max(0.0, slope) * tokens_before)
        self._first = (tokens_before, delay_ms)


class Window:
    """The window of one model at one instance.

    Attributes
    ----------
    tokens_per_engine : float
        The window divided by the number of engines, so that it follows at once
        when an engine comes or goes.
    """

    def __init__(self, controller: Controller, initial_tokens: float) -> None:
        self._controller = controller
        self.tokens_per_engine = initial_tokens
        self._base_ms = math.inf
        self._own_delay = OwnDelay()
        self._delays_ms: list[float] = []
        self._use = 0.0
        self._stepped_at_ms = 0.0

    def note_use(self, use: float) -> None:
        """Note which share of the window is taken."""
        self._use = max(self._use, use)

    def note_first_token(
        self, ttft_ms: float, own_ms: float, admitted_at_ms: float, now_ms: float
    ) -> None:
        """Take in one first token; ``own_ms`` is its own expected prefill."""
        delay_ms = max(0.0, ttft_ms - own_ms)
        if admitted_at_ms < self._stepped_at_ms:
            # It shows the queue of a window that was changed since; acting on it
            # would shrink the window several times for one cause.
            return
        self._delays_ms.append(delay_ms)
        is_due = now_ms - self._stepped_at_ms >= STEP_PERIOD_MS
        if is_due and len(self._delays_ms) >= MIN_SAMPLES:
            self._step(now_ms)

    def _step(self, now_ms: float) -> None:
        delays_ms = self._delays_ms
        # The base never rises: while a queue stands, the lowest delay seen contains
        # it, and a base that followed would let queue and base push each other up.
        self._base_ms = min(self._base_ms, *delays_ms)
        mean_ms = sum(delays_ms) / len(delays_ms)
        sample = WindowSample(mean_ms, self._base_ms, self._own_delay.own_ms, self._use)
        tokens = self._controller(self.tokens_per_engine, sample)
        bounded = min(MAX_WINDOW_TOKENS, max(MIN_WINDOW_TOKENS, tokens))
        self._own_delay.observe(self.tokens_per_engine, bounded, mean_ms)
        self.tokens_per_engine = bounded
        self._delays_ms = []
        self._use = 0.0
        self._stepped_at_ms = now_ms


#: Time over which the drain rate is averaged.
DRAIN_AVERAGE_MS = 2_000.0
#: Busy time over which the engines' nominal rate fades from the estimate.
DRAIN_PRIOR_MS = 500.0


#: Times that requests hold their places over which the rate is averaged at least.
HOLDS_AVERAGED = 2.0
HOLD_LEARNING_RATE = 0.1


class DrainRate:
    """Work that ends in a second while work waits.

    Time without waiting work is left out: it tells the demand, not the capacity.
    """

    def __init__(self) -> None:
        self._busy_ms = 0.0
        self._done_tokens = 0.0
        self._is_busy = False
        self._seen_at_ms = 0.0
        self._mean_hold_ms = 0.0

    def note_hold(self, hold_ms: float) -> None:
        """Note how long a request that ended held its place."""
        weight = HOLD_LEARNING_RATE if self._mean_hold_ms else 1.0
        self._mean_hold_ms += weight * (hold_ms - self._mean_hold_ms)

    def observe(self, is_busy: bool, done_tokens: float, now_ms: float) -> None:
        """Advance to ``now_ms``; ``is_busy`` tells whether work waits from now on."""
        if self._is_busy:
            elapsed_ms = max(0.0, now_ms - self._seen_at_ms)
            average_ms = max(DRAIN_AVERAGE_MS, HOLDS_AVERAGED * self._mean_hold_ms)
            keep = max(0.0, 1.0 - elapsed_ms / average_ms)
            self._busy_ms = self._busy_ms * keep + elapsed_ms
            self._done_tokens = self._done_tokens * keep + done_tokens
        self._is_busy = is_busy
        self._seen_at_ms = now_ms

    def tokens_per_s(self, nominal_tokens_per_s: float) -> float:
        """Return the measured rate, blended with the nominal one at first."""
        if self._done_tokens <= 0.0:
            # Nothing has ended yet, which long answers do not for seconds: that says
            # nothing of the rate.
            return max(1.0, nominal_tokens_per_s)
        # The nominal rate fades as measured time takes its place.
        prior_ms = max(0.0, max(DRAIN_PRIOR_MS, self._mean_hold_ms) - self._busy_ms)
        tokens = self._done_tokens + nominal_tokens_per_s * prior_ms / 1000.0
        return max(1.0, 1000.0 * tokens / max(1.0, self._busy_ms + prior_ms))
