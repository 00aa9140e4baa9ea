"""Entries that are removed after calls to the store failed: left, or lapsed."""

import pytest

from buckthornrock.catalog.upstreams import RETURN_GRACE_MS
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.telemetry import Telemetry, open_metrics
from tests.scheduling.world import engine

REVISION = 5


class World:
    """Fleet state of one instance that watches the store, on a simulated clock."""

    def __init__(self) -> None:
        self.time_ms = 10_000.0
        telemetry = Telemetry(lambda *_, **__: None, open_metrics("", 0, ""))
        weights = WeightsView(20_000.0)
        self.state = FleetState("a", weights, lambda: self.time_ms, telemetry)
        self.state.is_watching_store = True
        self.state.store_contact.on_call_answered()
        self.state.upstreams.replace([engine(0)], REVISION)

    def fail_calls(self, at_ms):
        """Let calls fail at these times after the last answer."""
        began_ms = self.time_ms
        for failed_at_ms in at_ms:
            self.time_ms = began_ms + failed_at_ms
            self.state.upstreams.expire()
            self.state.upstreams.on_store_failed("silent")

    def is_known(self):
        return bool(self.state.directory.all())


# One failed call counted as an outage: a server that left was kept for longer (DRAIN).
@pytest.mark.parametrize(
    ("failed_at_ms", "is_outage"),
    [([100.0], False), ([1_500.0], False), ([500.0, 1_000.0, 1_500.0], False),
     ([1_500.0, 2_600.0], True), ([3_000.0], True)],
)  # fmt: skip
def test_entry_that_is_removed_after_a_failed_call_is_kept_after_an_outage_only(
    failed_at_ms, is_outage
):
    world = World()
    world.fail_calls(failed_at_ms)
    world.time_ms += 100.0
    world.state.store_contact.on_call_answered()
    world.state.upstreams.change([], [engine(0).upstream_id], REVISION + 1)
    world.state.upstreams.expire()
    assert world.is_known() is is_outage
    world.time_ms += RETURN_GRACE_MS
    world.state.upstreams.expire()
    assert not world.is_known()


def test_entries_are_kept_while_the_store_is_away():
    world = World()
    world.fail_calls([1_500.0, 3_000.0, 60_000.0])
    assert world.is_known()
