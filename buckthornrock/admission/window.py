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
AIMD_INCREASE_TOKENS = 256.0
SLOW_START_GROWTH = 1.5
GRADIENT_MIN = 0.7
GRADIENT_GROWTH = 0.05


class WindowSample(NamedTuple):
    """What one step of a controller looks at.

    ``delay_ms`` is the mean delay of first tokens beyond their own prefill,
    ``base_ms`` the lowest such delay ever, ``use`` the greatest used share of the
    window.
    """

    delay_ms: float
    base_ms: float
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
            return window_tokens * AIMD_DECREASE
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
    # A base learned while a queue stood contains that queue, so at most the target
    # is allowed for it.
    return target_delay_ms + min(sample.base_ms, target_delay_ms)


def fixed(target_delay_ms: float) -> Controller:
    """Keep the window as it is; the baseline of measurements."""
    return lambda window_tokens, sample: window_tokens


CONTROLLERS: dict[str, Callable[[float], Controller]] = {
    "aimd": aimd,
    "gradient": gradient,
    "fixed": fixed,
}


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
        self._delays_ms: list[float] = []
        self._use = 0.0
        self._stepped_at_ms = 0.0

    def note_use(self, use: float) -> None:
        """Note which share of the window is taken."""
        self._use = max(self._use, use)

    def note_first_token(self, ttft_ms: float, own_ms: float, now_ms: float) -> None:
        """Take in one first token; ``own_ms`` is its own expected prefill."""
        delay_ms = max(0.0, ttft_ms - own_ms)
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
        sample = WindowSample(mean_ms, self._base_ms, self._use)
        tokens = self._controller(self.tokens_per_engine, sample)
        self.tokens_per_engine = min(MAX_WINDOW_TOKENS, max(MIN_WINDOW_TOKENS, tokens))
        self._delays_ms = []
        self._use = 0.0
        self._stepped_at_ms = now_ms


#: Time over which the drain rate is averaged.
DRAIN_AVERAGE_MS = 2_000.0
#: Busy time over which the engines' nominal rate fades from the estimate.
DRAIN_PRIOR_MS = 500.0


class DrainRate:
    """Work that ends in a second while work waits.

    Time without waiting work is left out: it tells the demand, not the capacity.
    """

    def __init__(self) -> None:
        self._busy_ms = 0.0
        self._done_tokens = 0.0
        self._is_busy = False
        self._seen_at_ms = 0.0

    def observe(self, is_busy: bool, done_tokens: float, now_ms: float) -> None:
        """Advance to ``now_ms``; ``is_busy`` tells whether work waits from now on."""
        if self._is_busy:
            elapsed_ms = max(0.0, now_ms - self._seen_at_ms)
            keep = max(0.0, 1.0 - elapsed_ms / DRAIN_AVERAGE_MS)
            self._busy_ms = self._busy_ms * keep + elapsed_ms
            self._done_tokens = self._done_tokens * keep + done_tokens
        self._is_busy = is_busy
        self._seen_at_ms = now_ms

    def tokens_per_s(self, nominal_tokens_per_s: float) -> float:
        """Return the measured rate, blended with the nominal one at first."""
        # The nominal rate fades as measured time takes its place.
        prior_ms = max(0.0, DRAIN_PRIOR_MS - self._busy_ms)
        tokens = self._done_tokens + nominal_tokens_per_s * prior_ms / 1000.0
        return max(1.0, 1000.0 * tokens / max(1.0, self._busy_ms + prior_ms))
