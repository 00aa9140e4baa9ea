"""Faults of an emulated engine, scripted by time and seed."""

import random
from typing import NamedTuple

import msgspec

#: What each kind does while it lasts; ``share`` is the share of answers it hits.
KINDS: dict[str, str] = {
    "crash": "drops every connection and refuses calls; then a cold start, empty",
    "stall": "makes no progress; connections stay open",
    "cut": "closes a stream after some of its tokens, without its end",
    "crossed": "answers with the request id of another request",
    "other_weights": "answers as the weights version in ``value`` does",
    "lost_events": "loses the share of cache events",
    "slow": "takes ``value`` times as long for each step",
}


class Fault(msgspec.Struct, frozen=True):
    """One fault; ``at_ms`` counts from when the script was set."""

    kind: str
    at_ms: float = 0.0
    for_ms: float = 0.0
    share: float = 1.0
    value: str = ""


class Script(msgspec.Struct):
    """The body of ``POST /control``; it replaces the script before it."""

    faults: list[Fault] = []
    seed: int = 1


class AnswerFaults(NamedTuple):
    """What goes wrong with one answer."""

    cut_after: int = -1
    is_crossed: bool = False
    weights_version: str = ""


class FaultSchedule:
    """Says which faults are active; pure but for the script it holds."""

    def __init__(self) -> None:
        self._faults: tuple[Fault, ...] = ()
        self._started_at_ms = 0.0
        self._rng = random.Random(0)
        self._begun: set[int] = set()

    def set_script(self, script: Script, now_ms: float) -> str:
        """Start a script; returns a problem, or an empty string."""
        unknown = [f.kind for f in script.faults if f.kind not in KINDS]
        if unknown:
            return f"unknown kinds: {', '.join(unknown)}"
        self._faults = tuple(script.faults)
        self._started_at_ms = now_ms
        self._rng = random.Random(script.seed)
        self._begun = set()
        return ""

    @property
    def has_script(self) -> bool:
        """Whether any fault was scripted."""
        return bool(self._faults)

    def active(self, kind: str, now_ms: float) -> Fault | None:
        """Return the first active fault of a kind."""
        for fault in self._faults:
            age_ms = now_ms - self._started_at_ms - fault.at_ms
            if fault.kind == kind and 0.0 <= age_ms < fault.for_ms:
                return fault
        return None

    def begins(self, kind: str, now_ms: float) -> Fault | None:
        """Return an active fault of a kind once, when it is first seen."""
        fault = self.active(kind, now_ms)
        if fault is None or id(fault) in self._begun:
            return None
        self._begun.add(id(fault))
        return fault

    def for_answer(self, max_tokens: int, now_ms: float) -> AnswerFaults:
        """Decide what goes wrong with an answer that begins now."""
        faults = AnswerFaults()
        if self._hits("cut", now_ms):
            faults = faults._replace(cut_after=self._rng.randrange(max(1, max_tokens)))
        if self._hits("crossed", now_ms):
            faults = faults._replace(is_crossed=True)
        if self._hits("other_weights", now_ms):
            version = self.active("other_weights", now_ms).value
            faults = faults._replace(weights_version=version)
        return faults

    def slowness(self, now_ms: float) -> float:
        """Return the factor on the duration of a step."""
        fault = self.active("slow", now_ms)
        return float(fault.value) if fault else 1.0

    def _hits(self, kind: str, now_ms: float) -> bool:
        fault = self.active(kind, now_ms)
        return fault is not None and self._rng.random() < fault.share
