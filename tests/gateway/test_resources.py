"""Resource reports in the log, and the age of the state taken from the store."""

import pytest

from buckthornrock.events import gateway as events
from buckthornrock.gateway.fleet_state import FleetState
from buckthornrock.gateway.resources import (
    REPORT_PERIOD_MS,
    DigestTraffic,
    ResourceInputs,
    ResourceMonitor,
)
from buckthornrock.scheduling.weights import WeightsView
from buckthornrock.telemetry import Telemetry, open_metrics
from tests.gateway.harness import ScriptedUpstream, ask, request, run, start_gateway
from tests.gateway.test_log_lines import lines
from tests.gateway.test_peers import TELEMETRY


class Clock:
    def __init__(self):
        self.at_ms = 0.0
        self.cpu_ms = 0.0
        self.traffic = DigestTraffic()

    def now_ms(self):
        return self.at_ms


def open_monitor(clock, logged):
    inputs = ResourceInputs(
        traffic=lambda: clock.traffic,
        n_instances=lambda: 3,
        n_connections=lambda: 2,
        configuration_version=lambda: 7,
        store_age_ms=lambda: 40.0,
        cpu_ms=lambda: clock.cpu_ms,
        now_ms=lambda: clock.at_ms,
    )
    metrics = open_metrics("", 0, "")
    telemetry = Telemetry(lambda event, **fields: logged.append(fields), metrics)
    return ResourceMonitor(inputs, telemetry)


def test_report_holds_the_largest_lag_and_the_rates_of_its_period():
    clock, logged = Clock(), []
    monitor = open_monitor(clock, logged)
    clock.traffic = DigestTraffic(500, 50_000, 1_000, 250_000)
    clock.cpu_ms = REPORT_PERIOD_MS / 4
    for at_ms, due_at_ms in [(100.0, 90.0), (900.0, 200.0), (5_000.0, 4_999.0)]:
        clock.at_ms = at_ms
        monitor.sample(due_at_ms)
    [line] = logged
    assert line["loop_lag_ms"] == 700.0
    assert line["cpu_share"] == 0.25
    assert line["digests_sent_per_s"] == 100.0
    assert line["digest_bytes_received_per_s"] == 50_000.0
    assert line["configuration_version"] == 7


def test_each_report_counts_its_own_period_only():
    clock, logged = Clock(), []
    monitor = open_monitor(clock, logged)
    for at_ms, n_sent in [(5_000.0, 50), (10_000.0, 60)]:
        clock.at_ms, clock.traffic = at_ms, DigestTraffic(n_sent)
        monitor.sample(at_ms)
    assert [line["digests_sent_per_s"] for line in logged] == [10.0, 2.0]


@pytest.mark.parametrize("path", ["/read/1", "/book/1", "/unknown/1"])
def test_log_lines_of_a_request_hold_the_age_of_the_store_state(path):
    async def main():
        harness = await start_gateway(ScriptedUpstream())
        for event in (events.TURNED_AWAY, events.NOT_SERVED):
            assert "store_age_ms" in event.fields
        harness.fleet_state.store_contact.on_call_answered()
        harness.fleet_state.directory.replace([], 2, 0.0)
        await ask(harness.client_address, request(path))
        logged = lines(harness, events.TURNED_AWAY) + lines(harness, events.NOT_SERVED)
        [line] = logged
        assert 0.0 <= line["store_age_ms"] < 10_000.0

    run(main)


def test_store_age_is_that_of_the_newest_confirmation():
    clock = Clock()
    state = FleetState("a", WeightsView(20_000.0), clock.now_ms, TELEMETRY)
    assert state.store_age_ms() is None
    clock.at_ms = 1_000.0
    state.store_contact.on_call_answered()
    clock.at_ms = 1_500.0
    state.store_contact.on_confirmed(age_ms=400.0)
    clock.at_ms = 1_700.0
    state.store_contact.on_confirmed(age_ms=1_200.0)
    assert state.store_age_ms() == 600.0
