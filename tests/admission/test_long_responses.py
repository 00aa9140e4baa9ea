"""Responses that take seconds must not cause refusals while engines are idle.

No request ends for seconds after a start, so a drain rate or a window that follows
only ended requests would be far too low.
"""

from buckthornrock.admission.window import (
    MIN_SAMPLES,
    STEP_PERIOD_MS,
    DrainRate,
    Window,
    aimd,
)

from .admission_builders import make_policy, make_queues, make_request

NOMINAL_TOKENS_PER_S = 10_000.0


def test_nominal_rate_is_used_until_a_request_ends():
    drain = DrainRate()
    drain.observe(True, 0.0, 0.0)
    drain.observe(True, 0.0, 4_000.0)
    assert drain.tokens_per_s(NOMINAL_TOKENS_PER_S) == NOMINAL_TOKENS_PER_S


def test_pause_between_long_responses_does_not_lower_the_rate():
    drain = DrainRate()
    drain.observe(True, 0.0, 0.0)
    for now_ms in range(500, 20_001, 500):
        # Eight responses of 1,000 tokens end together every 4 s.
        done_tokens = 8_000.0 if now_ms % 4_000 == 0 else 0.0
        if done_tokens:
            drain.note_hold(4_000.0)
        drain.observe(True, done_tokens, float(now_ms))
        if now_ms >= 4_000:
            # The true rate is 2,000 tokens a second.
            assert drain.tokens_per_s(NOMINAL_TOKENS_PER_S) >= 1_000.0


def test_urgent_request_waits_instead_of_being_refused():
    # 500 tokens arrive per second at engines that compute 1,000, and no response ends.
    queues = make_queues(window_tokens=1_000.0)
    policy = make_policy(ttft_target_ms=1_300.0)
    for now_ms in range(0, 3_500, 100):
        request = make_request(50.0, float(now_ms), policy, deadline_at_ms=60_000.0)
        assert queues.offer(request, float(now_ms)) is None
        queues.dispatch(float(now_ms))


def test_window_grows_while_the_first_responses_still_run():
    window = Window(aimd(100.0), 1_000.0)
    now_ms = 0.0
    for _ in range(4):
        now_ms += STEP_PERIOD_MS
        window.note_use(1.0)
        for _ in range(MIN_SAMPLES):
            window.note_first_token(20.0, 10.0, now_ms - 20.0, now_ms)
    assert window.tokens_per_engine >= 1_000.0 * 1.5**3


def test_window_gets_the_first_token_before_the_response_ends():
    queues = make_queues(window_tokens=1_000.0)
    seen = []
    queues.window.note_first_token = lambda *sample: seen.append(sample)
    request = make_request(100.0)
    queues.offer(request, 0.0)
    assert queues.dispatch(0.0) == [request]
    queues.note_first_token(request, 100, 36.0, 36.0)
    assert [sample[0] for sample in seen] == [36.0]
