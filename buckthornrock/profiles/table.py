"""The newest known version of each profile; versions never decrease.

The table does no I/O. It decides which record is in force, so that an accepted change
is not replaced by an older one.
"""

import hashlib
import threading
from collections.abc import Iterable
from typing import NamedTuple

from .port import ProfileRecord

_TRUST_ORDER = {"start": 0, "peer": 1, "kv": 2}
DIGEST_BYTES = 8


class VersionOrder(NamedTuple):
    """Sort key of the records of one profile.

    The version decides. Two records with the same version exist only if the key-value
    service lost the first one; then the one accepted later wins at every instance.
    """

    version: int
    accepted_wall_ms: int
    digest: str


def order_of(record: ProfileRecord) -> VersionOrder:
    """Return the sort key of ``record`` among the records of its profile."""
    digest = hashlib.blake2b(record.raw, digest_size=DIGEST_BYTES).hexdigest()
    return VersionOrder(record.version, record.accepted_wall_ms, digest)


class ProfileTable:
    """The records in force, one for each profile.

    Parameters
    ----------
    start : iterable of ProfileRecord
        Records that are in force until accepted ones are known.
    """

    def __init__(self, start: Iterable[ProfileRecord]) -> None:
        self._lock = threading.Lock()
        self._records = {record.name: record for record in start}
        self._orders = {name: order_of(r) for name, r in self._records.items()}

    def get(self, name: str) -> ProfileRecord | None:
        """Return the record in force."""
        return self._records.get(name)

    def names(self) -> tuple[str, ...]:
        """Return all names, sorted."""
        with self._lock:
            return tuple(sorted(self._records))

    def offer(self, record: ProfileRecord) -> bool:
        """Put ``record`` in force if it is newer; return whether it was."""
        order = order_of(record)
        with self._lock:
            known = self._orders.get(record.name)
            if known == order:
                self._raise_trust(record)
            if known is not None and known >= order:
                return False
            self._records[record.name] = record
            self._orders[record.name] = order
        return True

    def orders(self) -> dict[str, VersionOrder]:
        """Return the sort key of each accepted record, without start records."""
        with self._lock:
            return {
                name: order
                for name, order in self._orders.items()
                if self._records[name].trust != "start"
            }

    def newer_than(self, orders: dict[str, VersionOrder]) -> list[ProfileRecord]:
        """Return accepted records that ``orders`` lacks or has in older versions."""
        own = self.orders()
        names = [n for n, o in own.items() if n not in orders or o > orders[n]]
        return [self._records[name] for name in names]

    def missing_from(self, orders: dict[str, VersionOrder]) -> list[str]:
        """Return the names that this table lacks or has in older versions."""
        own = self.orders()
        return [n for n, o in orders.items() if n not in own or o > own[n]]

    def digest(self) -> bytes:
        """Return one digest over all accepted records."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for name, order in sorted(self.orders().items()):
            digest.update(f"{name}\0{order}\0".encode())
        return digest.digest()

    def _raise_trust(self, record: ProfileRecord) -> None:
        known = self._records[record.name]
        if _TRUST_ORDER[record.trust] > _TRUST_ORDER[known.trust]:
            self._records[record.name] = record
