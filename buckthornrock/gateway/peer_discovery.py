"""Decides when to ask which seed address for its known instances. Does no I/O."""

import math

#: Period at which a seed address is asked for its known instances: while this instance
#: receives no digests, and afterwards.
ISOLATED_DISCOVERY_PERIOD_MS = 1_000.0
DISCOVERY_PERIOD_MS = 10_000.0


class PeerDiscovery:
    """Goes through the seed addresses in turn, leaving out the instance's own.

    Attributes
    ----------
    seeds : tuple of str
        Seed addresses; may be replaced at any time.
    """

    def __init__(self, address: str, seeds: tuple[str, ...]) -> None:
        self.seeds = seeds
        self._address = address
        self._asked_at_ms = -math.inf
        self._n_asked = 0

    def next_seed(self, is_alone: bool, now_ms: float) -> str | None:
        """Return the seed address to ask now, None if none is due.

        ``is_alone`` tells that this instance receives no digests.
        """
        period_ms = ISOLATED_DISCOVERY_PERIOD_MS if is_alone else DISCOVERY_PERIOD_MS
        seeds = [seed for seed in self.seeds if seed != self._address]
        if not seeds or now_ms - self._asked_at_ms < period_ms:
            return None
        self._asked_at_ms = now_ms
        self._n_asked += 1
        return seeds[self._n_asked % len(seeds)]
