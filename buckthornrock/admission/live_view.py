"""Which instances count for shares: those that are live, and those that just were."""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


class LiveView:
    """The live instances with a memory of those that vanished.

    An instance that vanished from the view may still be serving, so it counts for
    ``hold_ms`` after it was last seen.
    """

    def __init__(self, hold_ms: float) -> None:
        self._hold_ms = hold_ms
        self._seen_at_ms: dict[str, float] = {}
        self.live_ids: tuple[str, ...] = ()
        self.digest = b""

    def update(self, live_ids: Iterable[str], now_ms: float) -> None:
        """Take in the live instances as they are now."""
        ids = tuple(sorted(live_ids))
        if ids != self.live_ids:
            self.live_ids = ids
            joined = "\0".join(ids).encode()
            self.digest = hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest()
        for id_ in ids:
            self._seen_at_ms[id_] = now_ms
        oldest_ms = now_ms - self._hold_ms
        if len(self._seen_at_ms) > len(ids):
            seen = self._seen_at_ms.items()
            self._seen_at_ms = {id_: at for id_, at in seen if at >= oldest_ms}

    @property
    def n_held(self) -> int:
        """Instances that are live or vanished only lately, at least 1."""
        return max(1, len(self._seen_at_ms))

    @property
    def n_vanished(self) -> int:
        """Instances that vanished lately."""
        return len(self._seen_at_ms) - len(self.live_ids)
