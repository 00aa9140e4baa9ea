"""The conservative profile that an instance uses until it knows an accepted one."""

from .document import Profile

TTFT_TARGET_MS = 1_300
DEADLINE_MS = 60_000
REQUESTS_PER_S = 50.0
TOKENS_PER_S = 20_000.0


def start_profile() -> Profile:
    """Return a profile with one urgent work class and no deferrable work."""
    return {
        "work_classes": {
            "urgent": {
                "rank": 0,
                "kind": "urgent",
                "ttft_target_ms": TTFT_TARGET_MS,
                "deadline_ms": DEADLINE_MS,
                "worth": 1.0,
            }
        },
        "default_work_class": "urgent",
        "deferrable_floor": 0.0,
        "default_limits": {
            "requests_per_s": REQUESTS_PER_S,
            "tokens_per_s": TOKENS_PER_S,
            "weight": 1.0,
        },
        "client_accounts": {},
        "routes": [],
    }
