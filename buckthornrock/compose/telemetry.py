"""Wires logs, metrics, decision records and the burn counts."""

from typing import IO, NamedTuple

from ..conf import Settings
from ..runtime import Clock
from ..telemetry import Telemetry, open_log, open_metrics
from ..telemetry.burn import BurnConfig, BurnCounters
from ..telemetry.decisions import open_decisions


class TelemetryParts(NamedTuple):
    """Telemetry, and the burn counts that the operators' port reads."""

    telemetry: Telemetry
    burn: BurnCounters


def build_telemetry(
    settings: Settings, clock: Clock, log_stream: IO[str] | None
) -> TelemetryParts:
    """Wire telemetry; every ended request goes into the burn counts."""
    section = settings.telemetry
    prefix = f"{section.statsd_prefix}.{settings.instance_id}"
    metrics = open_metrics(section.statsd_host, section.statsd_port, prefix)
    config = BurnConfig(objective=section.objective, slot_ms=section.burn_slot_ms)
    burn = BurnCounters(config, clock.now_ms())
    decisions = open_decisions(section.n_decisions, clock.wall_ms, burn.add)
    telemetry = Telemetry(open_log(log_stream), metrics, decisions)
    return TelemetryParts(telemetry, burn)
