"""One instance's state parts in a process: KV client, membership and profiles.

``python -m benchmarks.state_node SETTINGS LOG`` obeys lines on its standard input and
answers each with one JSON line.
"""

import sys
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from buckthornrock.commands.demo_world import demo_profile
from buckthornrock.compose.core import Core, build_core
from buckthornrock.compose.membership import build_membership
from buckthornrock.compose.profiles import build_profiles
from buckthornrock.conf import load_settings
from buckthornrock.telemetry import Metrics
from buckthornrock.telemetry.metrics import WIRE_BYTES, WIRE_FRAMES_DROPPED


def main() -> None:
    """Run one instance's state parts until the standard input ends."""
    settings_path, log_path = sys.argv[1:]
    counts: Counter[str] = Counter()
    log = open(log_path, "a", buffering=1)  # noqa: SIM115 - open until the end
    core = build_core(load_settings(settings_path).ok, log)
    core = core._replace(
        telemetry=core.telemetry._replace(metrics=_counting_metrics(counts))
    )
    commands = _commands(core, counts)
    for line in sys.stdin:
        name, *arguments = line.split()
        answer = commands[name](*arguments)
        print(msgspec.json.encode(answer).decode(), flush=True)


def _commands(core: Core, counts: Counter) -> dict[str, Callable[..., dict]]:
    wired_at_s = time.time()
    membership = build_membership(core)
    profiles = build_profiles(core, membership)

    def apply(floor: str) -> dict:
        version = profiles.current("default").ok.version
        profile = {**demo_profile(), "deferrable_floor": float(floor)}
        asked_at_s = time.time()
        result = profiles.apply("default", profile, version, "benchmark")
        answer = {"asked_at_s": asked_at_s, "accepted_at_s": time.time()}
        return {**answer, "version": result.ok.version if result.is_ok() else 0}

    def report() -> dict:
        return {
            "wired_at_s": wired_at_s,
            "n_live": len(membership.live()),
            "version": profiles.current("default").ok.version,
            **counts,
        }

    return {"apply": apply, "report": report}


def _counting_metrics(counts: Counter) -> Metrics:
    def incr(name: str, n: int = 1, label: str = "") -> None:
        if name in (WIRE_BYTES, WIRE_FRAMES_DROPPED):
            counts[f"{name}.{label}"] += n

    def ignore(name: str, value: float = 1, label: str = "") -> None:
        return

    return Metrics(incr, ignore, ignore)


if __name__ == "__main__":
    main()
