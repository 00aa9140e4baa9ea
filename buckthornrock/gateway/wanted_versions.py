"""The versions of models' weights that operators want, and since when.

The store names them, and peers tell each other the ages. It is not thread-safe: it is
used on the event loop's thread only.
"""

from collections.abc import Callable

from ..events import gateway as events
from ..scheduling.weights import WeightsView
from ..telemetry import Telemetry
from .state_observers import StateObservers


class WantedVersions:
    """Wanted versions with their ages; logs new ones and publishes them to peers."""

    def __init__(
        self,
        weights: WeightsView,
        observers: StateObservers,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._weights = weights
        self._observers = observers
        self._now_ms = now_ms
        self._telemetry = telemetry

    def on_wanted(
        self, model: str, version: int, source: str, age_ms: float = 0.0
    ) -> None:
        """Record a version of a model's weights that has been wanted for ``age_ms``."""
        if self._weights.on_wanted(model, version, self._now_ms() - age_ms):
            self._telemetry.log(
                events.WEIGHTS_WANTED,
                model=model,
                version=version,
                source=source,
                age_ms=round(age_ms, 1),
            )
            self._observers.on_urgent()

    def on_record(self, model: str, ages_ms: list[tuple[int, int]]) -> None:
        """Record since when versions are wanted, as the store told at the start.

        Versions that operators haven't named are ignored.
        """
        newest = self._weights.wanted(model)
        for version, age_ms in ages_ms:
            if newest is None or version > newest.version:
                continue
            self._weights.on_wanted(model, version, self._now_ms() - age_ms)
            self._telemetry.log(
                events.WEIGHTS_WANTED,
                model=model,
                version=version,
                source="record",
                age_ms=age_ms,
            )
        self._observers.on_urgent()

    def on_ages(
        self,
        newest: dict[str, tuple[int, int]],
        older: dict[str, list[tuple[int, int]]],
        source: str,
    ) -> None:
        """Record the wanted versions and ages that a peer knows."""
        for model, (version, age_ms) in newest.items():
            self.on_wanted(model, version, source, age_ms)
        for model, versions in older.items():
            for version, age_ms in versions:
                self.on_wanted(model, version, source, age_ms)

    def ages(self) -> dict[str, tuple[int, int]]:
        """Return each model's wanted version and for how many ms it has been wanted."""
        now_ms = self._now_ms()
        return {
            name: (wanted.version, int(now_ms - wanted.known_at_ms))
            for name, wanted in self._weights.models().items()
        }

    def older_ages(self) -> dict[str, list[tuple[int, int]]]:
        """Return earlier wanted versions and ages, for models that have any.

        A peer that started after a version was replaced doesn't know since when it had
        been wanted, which an engine with older weights is judged by.
        """
        now_ms = self._now_ms()
        ages = {
            model: [
                (wanted.version, int(now_ms - wanted.known_at_ms))
                for wanted in self._weights.wanted_before(model, now_ms)
            ]
            for model in self._weights.models()
        }
        return {model: versions for model, versions in ages.items() if versions}
