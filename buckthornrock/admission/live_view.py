"""The instances that fleet-wide limits are divided among.

These are the live instances and those that were live until recently.
"""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


class LiveView:
    """The live instances, and those that vanished within ``hold_ms``.

    An instance that vanished from the membership view may still be serving (behind a
    partition, say), so it is counted for ``hold_ms`` after it was last seen.

    Attributes
    ----------
    live_ids : tuple of str
        The live instances, sorted.
    digest : bytes
        Hash of ``live_ids``, by which two instances tell whether their views agree.
    """

    def __init__(self, hold_ms: float) -> None:
        self._hold_ms = hold_ms
        self._seen_at_ms: dict[str, float] = {}
        self.live_ids: tuple[str, ...] = ()
        self.digest = b""

    def update(self, live_ids: Iterable[str], now_ms: float) -> None:
        """Set the instances that are live now."""
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
    def n_counted(self) -> int:
        """Number of instances that are live or vanished recently, at least 1."""
        return max(1, len(self._seen_at_ms))

    @property
    def n_vanished(self) -> int:
        """Number of instances that vanished recently."""
        return len(self._seen_at_ms) - len(self.live_ids)
