"""Sizes and rates of the two deployments, scaled to what one machine carries."""

from typing import NamedTuple

from buckthornrock.load.mixes import MIXES

N_INSTANCES = 7
N_DOMAINS = 3
#: Processes that the emulated engines are spread over.
N_ENGINE_GROUPS = 3
OPERATOR_KEY = "bench-operator-key"
#: Engines slower by the scale change their state more slowly, so the instances poll
#: them less often than by default; that leaves the machine to the requests.
SCALED_PERIODS: dict[str, dict[str, int]] = {
    "upstreams": {"poll_period_ms": 500},
    "routing": {"event_period_ms": 250},
}
#: An engine of the real fleet prefills this many tokens a second; the emulated ones
#: are slower by the scale, so that one machine carries the requests.
REAL_PREFILL_TOKENS_PER_S = 20_000.0


class Deployment(NamedTuple):
    """One deployment of the benchmark.

    Parameters
    ----------
    rate_per_s : float
        Arrivals a second without floods.
    n_cache_blocks : int
        Cache of each engine.
    """

    name: str
    n_engines: int
    prefill_tokens_per_s: float
    inter_token_ms: float
    n_cache_blocks: int
    max_batch: int
    rate_per_s: float

    @property
    def scale(self) -> float:
        """Prefill rate of an emulated engine over that of a real one."""
        return self.prefill_tokens_per_s / REAL_PREFILL_TOKENS_PER_S


DEPLOYMENTS: dict[str, Deployment] = {
    "paddock-lane": Deployment("paddock-lane", 9, 3_000.0, 15.0, 1_400, 12, 36.0),
    "wieszak": Deployment("wieszak", 6, 4_000.0, 15.0, 2_400, 12, 30.0),
}


def caller_key(account: str, member: str) -> str:
    """Return the key of a caller of the benchmark."""
    return f"bench-key-{account}-{member}"


def profile(mix_name: str, floor: float) -> dict:
    """Return the profile document of a mix."""
    limits = {"requests_per_s": 1_000.0, "tokens_per_s": 1e6, "weight": 1.0}
    classes = {
        c.name: {
            "rank": c.rank,
            "kind": "deferrable" if c.is_deferrable else "urgent",
            "ttft_target_ms": int(c.on_time_ms),
            "deadline_ms": 60_000 if c.is_deferrable else 10_000,
            "worth": 1.0 if c.is_deferrable else 10.0,
        }
        for c in MIXES[mix_name].classes
    }
    return {
        "work_classes": classes,
        "default_work_class": next(iter(classes)),
        "deferrable_floor": floor,
        "default_limits": limits,
        "client_accounts": {},
        "routes": [],
    }
