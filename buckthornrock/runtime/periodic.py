"""Actors that run a step periodically, with jitter between steps."""

import random
from collections.abc import Callable
from typing import NamedTuple

import pykka

from .timer import Timer


class _Tick(NamedTuple):
    """Message that requests the next periodic step."""


class PeriodicHandle(NamedTuple):
    """Controls a periodic actor.

    Parameters
    ----------
    run_now : callable
        Requests an additional step without waiting for the period.
    stop : callable
        Stops the actor after the step in progress.
    """

    run_now: Callable[[], None]
    stop: Callable[[], None]


class _PeriodicActor(pykka.ThreadingActor):
    """Runs ``step`` on every tick, then schedules the next tick."""

    use_daemon_thread = True

    def __init__(
        self,
        step: Callable[[], None],
        schedule: Callable[[pykka.ActorRef], None],
        on_error: Callable[[Exception], None],
    ) -> None:
        super().__init__()
        self._step = step
        self._schedule = schedule
        self._on_error = on_error

    def on_start(self) -> None:
        self._schedule(self.actor_ref)

    def on_receive(self, message: object) -> None:
        try:
            self._step()
        except Exception as error:  # noqa: BLE001 - a failing step must not end the loop
            self._on_error(error)
        if isinstance(message, _Tick):
            self._schedule(self.actor_ref)


class _RunOnce(NamedTuple):
    """Message that requests one step outside the period."""


def start_periodic(
    timer: Timer,
    step: Callable[[], None],
    period_ms: float,
    on_error: Callable[[Exception], None],
    jitter: float = 0.2,
    rng: random.Random | None = None,
) -> PeriodicHandle:
    """Run ``step`` about every ``period_ms`` in an actor of its own.

    Parameters
    ----------
    timer : Timer
        Delivers the ticks.
    step : callable
        The work; its exceptions go to ``on_error`` and the loop continues.
    period_ms : float
        Mean time between the end of a step and the start of the next one.
    on_error : callable
        Receives each exception that ``step`` raises.
    jitter : float
        Relative jitter of the period, so that the instances' steps don't coincide.
    rng : random.Random, optional
        Random number generator for the jitter.

    Returns
    -------
    PeriodicHandle
    """
    rng = rng or random.Random()

    def schedule(ref: pykka.ActorRef) -> None:
        delay_ms = period_ms * (1.0 + jitter * (2.0 * rng.random() - 1.0))
        timer.call_later(delay_ms, lambda: _tell(ref, _Tick()))

    ref = _PeriodicActor.start(step, schedule, on_error)
    return PeriodicHandle(
        run_now=lambda: _tell(ref, _RunOnce()),
        stop=lambda: ref.stop(block=False),
    )


def _tell(ref: pykka.ActorRef, message: object) -> None:
    if ref.is_alive():
        ref.tell(message)
