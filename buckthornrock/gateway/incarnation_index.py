"""Index of upstreams and prompt stores by the numbers that name them in digests."""

from collections.abc import Iterable

from ..catalog.configuration import PromptStore
from ..catalog.upstreams import Incarnation, Upstream
from ..scheduling.prefill import prompt_store_incarnation
from ..scheduling.prefill_speed import FleetPrefillTimes
from ..wire.numeric_ids import incarnation_number


class IncarnationIndex:
    """Known upstreams and prompt stores by number.

    Parameters
    ----------
    times : FleetPrefillTimes
        Is told the service of each upstream.
    """

    def __init__(self, times: FleetPrefillTimes) -> None:
        self._times = times
        self._by_number: dict[int, Incarnation] = {}

    def get(self, number: int) -> Incarnation | None:
        """Return the upstream or prompt store with this number, None if unknown."""
        return self._by_number.get(number)

    def rebuild(
        self, upstreams: Iterable[Upstream], stores: Iterable[PromptStore]
    ) -> None:
        """Index these upstreams and prompt stores and no others."""
        by_number: dict[int, Incarnation] = {}
        services: dict[int, str] = {}
        for upstream in upstreams:
            incarnation = upstream.incarnation
            number = incarnation_number(*incarnation)
            by_number[number] = incarnation
            services[number] = upstream.service
        for store in stores:
            incarnation = prompt_store_incarnation(store)
            by_number[incarnation_number(*incarnation)] = incarnation
        self._times.set_services(services)
        self._by_number = by_number
