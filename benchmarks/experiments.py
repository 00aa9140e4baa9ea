"""Experiments: sets of trials that answer one question each."""

from typing import NamedTuple

from .trial import Trial

ALL_TERMS_OFF = {"hits": False, "expected": False, "homes": False, "imports": False}
POLICIES: dict[str, dict] = {
    "round_robin": {"routing": {"policy": "round_robin"}},
    "least_loaded": {"routing": {"policy": "least_loaded"}},
    "prefix_home": {"routing": {"policy": "prefix_home"}},
    "cost": {"routing": {"policy": "cost", "cache_store": "CACHE_STORE"}},
}
DEFERRABLE = {"paddock-lane": "notes", "wieszak": "return-note"}
URGENT = {"paddock-lane": "blurb", "wieszak": "assessment"}
FLOOD_AT_MS = 3_000.0
FLOOD_FOR_MS = 6_000.0
FLOOD_FACTOR = 5.0


class Experiment(NamedTuple):
    """One question and its trials."""

    name: str
    question: str
    trials: tuple[Trial, ...]


def all_experiments(seed: int) -> tuple[Experiment, ...]:
    """Return every experiment, in the order of the page."""
    policies = [
        Experiment(
            f"policies-{deployment}",
            f"What does the choice of an engine buy at {deployment}?",
            tuple(
                Trial(deployment, label, extra, seed)
                for label, extra in POLICIES.items()
            ),
        )
        for deployment in DEFERRABLE
    ]
    floods = [
        Experiment(
            f"floods-{deployment}",
            f"Who is served when one kind of work floods {deployment}?",
            (
                _flood(deployment, "deferrable x5", DEFERRABLE, seed),
                _flood(deployment, "urgent x5", URGENT, seed),
            ),
        )
        for deployment in DEFERRABLE
    ]
    return (*policies, *floods, _regressions(seed))


def _flood(
    deployment: str, label: str, classes: dict[str, str], seed: int, **changes: object
) -> Trial:
    flood = {
        "work_class": classes[deployment],
        "at_ms": FLOOD_AT_MS,
        "for_ms": FLOOD_FOR_MS,
        "factor": FLOOD_FACTOR,
    }
    trial = Trial(deployment, label, POLICIES["cost"], seed, floods=(flood,))
    return trial._replace(**changes)


def _regressions(seed: int) -> Experiment:
    """Plant a regression each, to show that the bench sees it."""
    name = "wieszak"
    return Experiment(
        "regressions",
        "Does the bench see a mechanism that was switched off?",
        (
            _with_terms(name, "prefix routing off", seed, ALL_TERMS_OFF),
            _with_terms(name, "dedupe off", seed, {"expected": False}),
            _flood(name, "urgent x5, floor off", URGENT, seed, floor=0.0),
        ),
    )


def _with_terms(
    deployment: str, label: str, seed: int, terms: dict[str, bool]
) -> Trial:
    routing = POLICIES["cost"]["routing"] | {"terms": terms}
    return Trial(deployment, label, {"routing": routing}, seed)
