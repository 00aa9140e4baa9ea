"""Adaptive concurrency: how much work may be in flight at the engines of one model.

The window is the work in tokens that may be in flight per engine. It is adapted to the
delay of first tokens beyond the request's own prefill time, so that the engines' queues
stay short and an urgent request is admitted soon.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

#: Smallest and largest window of one engine, in tokens of work.
MIN_WINDOW_TOKENS = 64.0
MAX_WINDOW_TOKENS = 4_000_000.0
#: Least number of samples and least time between two steps of the controller.
MIN_SAMPLES = 8
STEP_PERIOD_MS = 200.0
#: Share of the window that must have been used for the window to grow.
GROWTH_USE = 0.8
AIMD_DECREASE = 0.85
AIMD_MIN = 0.4
AIMD_INCREASE_TOKENS = 64.0
SLOW_START_GROWTH = 1.5
GRADIENT_MIN = 0.7
GRADIENT_GROWTH = 0.05
#: Factor by which the window must shrink before the change in delay is taken to tell
#: the engines' base delay from the delay of their queues.
BASE_DELAY_SHRINK_FACTOR = 4.0


class WindowSample(NamedTuple):
    """The input of one step of a controller.

    Parameters
    ----------
    delay_ms : float
        Mean delay of first tokens beyond their own prefill time.
    lowest_ms : float
        Lowest such delay ever seen.
    base_ms : float
        Part of the delay that remained while the window shrank; see
        :class:`BaseDelay`.
    use : float
        Greatest share of the window that was used.
    """

    delay_ms: float
    lowest_ms: float
    base_ms: float
    use: float


#: ``controller(window_tokens, sample) -> window_tokens``.
Controller = Callable[[float, WindowSample], float]


def aimd(target_delay_ms: float) -> Controller:
    """Increase by a constant; decrease by a factor once the delay exceeds its limit.

    Until the first decrease the window grows by a factor (slow start).
    """
    has_shrunk = False

    def step(window_tokens: float, sample: WindowSample) -> float:
        nonlocal has_shrunk
        if sample.delay_ms > _delay_limit_ms(sample, target_delay_ms):
            has_shrunk = True
            # The decrease is proportional to the excess: first tokens that are late
            # by seconds are also seen late, so many small steps would take too long.
            ratio = _delay_limit_ms(sample, target_delay_ms) / sample.delay_ms
            return window_tokens * max(AIMD_MIN, min(AIMD_DECREASE, ratio))
        if sample.use < GROWTH_USE:
            return window_tokens
        if not has_shrunk:
            return window_tokens * SLOW_START_GROWTH
        return window_tokens + AIMD_INCREASE_TOKENS

    return step


def gradient(target_delay_ms: float) -> Controller:
    """Scale by the ratio of the delay limit to the delay, and add a probe step."""

    def step(window_tokens: float, sample: WindowSample) -> float:
        limit_ms = _delay_limit_ms(sample, target_delay_ms)
        ratio = min(1.0, limit_ms / max(sample.delay_ms, 1.0))
        if ratio == 1.0 and sample.use < GROWTH_USE:
            return window_tokens
        probe = max(MIN_WINDOW_TOKENS, GRADIENT_GROWTH * window_tokens)
        return window_tokens * max(GRADIENT_MIN, ratio) + probe

    return step


def _delay_limit_ms(sample: WindowSample, target_delay_ms: float) -> float:
    # A lowest delay that was seen while a queue stood contains the queue's delay. It is
    # therefore allowed only up to the target, or up to the base delay that remained
    # when the window had shrunk a lot.
    trusted_ms = max(target_delay_ms, sample.base_ms)
    return target_delay_ms + min(sample.lowest_ms, trusted_ms)


def fixed(target_delay_ms: float) -> Controller:
    """Keep the window constant, as a baseline for measurements."""
    return lambda window_tokens, sample: window_tokens


CONTROLLERS: dict[str, Callable[[float], Controller]] = {
    "aimd": aimd,
    "gradient": gradient,
    "fixed": fixed,
}


class BaseDelay:
    """Estimates the delay that engines have without a queue.

    The delay of a queue falls with the window, while the engines' base delay stays.
    The line through two points (window, delay) of one period of shrinking meets the
    delay axis at the base delay.

    Attributes
    ----------
    base_ms : float
        Estimated delay at an empty window; 0 until the window has shrunk enough to
        estimate it.
    """

    def __init__(self) -> None:
        self.base_ms = 0.0
        self._first: tuple[float, float] | None = None

    def observe(
        self, tokens_before: float, tokens_after: float, delay_ms: float
    ) -> None:
        """Add one step of the window and the mean delay that was seen before it."""
        if tokens_after >= tokens_before:
            self._first = None
            return
        if self._first is None:
            self._first = (tokens_before, delay_ms)
            return
        first_tokens, first_ms = self._first
        if tokens_before * BASE_DELAY_SHRINK_FACTOR > first_tokens:
            return
        slope = (first_ms - delay_ms) / (first_tokens - tokens_before)
        self.base_ms = max(0.0, delay_ms - max(0.0, slope) * tokens_before)
        self._first = (tokens_before, delay_ms)


class Window:
    """The concurrency window of one model at one instance.

    Attributes
    ----------
    tokens_per_engine : float
        The window divided by the number of engines, so that the whole window changes
        at once when an engine comes or goes.
    """

    def __init__(self, controller: Controller, initial_tokens: float) -> None:
        self._controller = controller
        self.tokens_per_engine = initial_tokens
        self._lowest_ms = math.inf
        self._base_delay = BaseDelay()
        self._delays_ms: list[float] = []
        self._use = 0.0
        self._stepped_at_ms = 0.0

    def note_use(self, use: float) -> None:
        """Record which share of the window is in use."""
        self._use = max(self._use, use)

    def note_first_token(
        self, ttft_ms: float, prefill_ms: float, admitted_at_ms: float, now_ms: float
    ) -> None:
        """Add one first token; ``prefill_ms`` is the expected prefill time."""
        delay_ms = max(0.0, ttft_ms - prefill_ms)
        if admitted_at_ms < self._stepped_at_ms:
            # The request was admitted under an earlier window. Acting on its delay
            # would shrink the window several times for one cause.
            return
        self._delays_ms.append(delay_ms)
        is_due = now_ms - self._stepped_at_ms >= STEP_PERIOD_MS
        if is_due and len(self._delays_ms) >= MIN_SAMPLES:
            self._step(now_ms)

    def _step(self, now_ms: float) -> None:
        delays_ms = self._delays_ms
        # The lowest delay never rises. While a queue stands, every delay contains the
        # queue's, so a value that followed would raise the limit and thus the queue.
        self._lowest_ms = min(self._lowest_ms, *delays_ms)
        mean_ms = sum(delays_ms) / len(delays_ms)
        sample = WindowSample(
            mean_ms, self._lowest_ms, self._base_delay.base_ms, self._use
        )
        tokens = self._controller(self.tokens_per_engine, sample)
        bounded = min(MAX_WINDOW_TOKENS, max(MIN_WINDOW_TOKENS, tokens))
        self._base_delay.observe(self.tokens_per_engine, bounded, mean_ms)
        self.tokens_per_engine = bounded
        self._delays_ms = []
        self._use = 0.0
        self._stepped_at_ms = now_ms


#: Least busy time over which the drain rate is averaged.
DRAIN_AVERAGE_MS = 2_000.0
#: Least busy time over which measurements replace the engines' nominal rate.
DRAIN_PRIOR_MS = 500.0
#: The drain rate is averaged over at least this many mean hold times, where the hold
#: time of a request is the time from its admission to its release.
HOLDS_AVERAGED = 2.0
HOLD_LEARNING_RATE = 0.1


class DrainRate:
    """Measures the work that is completed per second while other work waits.

    Time without waiting work is left out, since it would measure the demand and not
    the capacity.
    """

    def __init__(self) -> None:
        self._busy_ms = 0.0
        self._done_tokens = 0.0
        self._is_busy = False
        self._seen_at_ms = 0.0
        self._mean_hold_ms = 0.0

    def note_hold(self, hold_ms: float) -> None:
        """Record the time from the admission of a request to its release."""
        weight = HOLD_LEARNING_RATE if self._mean_hold_ms else 1.0
        self._mean_hold_ms += weight * (hold_ms - self._mean_hold_ms)

    def observe(self, is_busy: bool, done_tokens: float, now_ms: float) -> None:
        """Advance to ``now_ms``; ``is_busy`` is whether work waits from now on."""
        if self._is_busy:
            elapsed_ms = max(0.0, now_ms - self._seen_at_ms)
            average_ms = max(DRAIN_AVERAGE_MS, HOLDS_AVERAGED * self._mean_hold_ms)
            keep = max(0.0, 1.0 - elapsed_ms / average_ms)
            self._busy_ms = self._busy_ms * keep + elapsed_ms
            self._done_tokens = self._done_tokens * keep + done_tokens
        self._is_busy = is_busy
        self._seen_at_ms = now_ms

    def tokens_per_s(self, nominal_tokens_per_s: float) -> float:
        """Return the measured rate, blended at first with the nominal rate."""
        if self._done_tokens <= 0.0:
            # Nothing has ended yet. Long responses take seconds to end, so this says
            # nothing about the rate.
            return max(1.0, nominal_tokens_per_s)
        # The weight of the nominal rate falls as measured time accumulates.
        prior_ms = max(0.0, max(DRAIN_PRIOR_MS, self._mean_hold_ms) - self._busy_ms)
        tokens = self._done_tokens + nominal_tokens_per_s * prior_ms / 1000.0
        return max(1.0, 1000.0 * tokens / max(1.0, self._busy_ms + prior_ms))
