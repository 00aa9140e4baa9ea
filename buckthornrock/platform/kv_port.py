"""The port through which the program uses the key-value service.

Values carry a write id, so that a write whose answer was lost can be recognised
when it is read back.
"""

from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from .errors import KvUnavailable, LeaseGone


class KvEntry(NamedTuple):
    """A key with its value.

    ``write_id`` identifies the transaction that wrote the value.
    """

    key: str
    value: bytes
    mod_revision: int
    lease_id: int
    write_id: bytes


class Compare(NamedTuple):
    """Requires that ``key`` was last modified at ``mod_revision`` (0: absent)."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """Sets a key; with a lease, the key goes when the lease does (0: none)."""

    key: str
    value: bytes
    lease_id: int = 0


class Delete(NamedTuple):
    """Removes a key."""

    key: str


class Transaction(NamedTuple):
    """Writes that take effect together if every comparison holds."""

    compares: tuple[Compare, ...]
    writes: tuple[Put | Delete, ...]


class CommitDone(NamedTuple):
    """The transaction took effect at ``revision``."""

    revision: int


class CommitConflict(NamedTuple):
    """A comparison failed, so nothing was written; holds the keys as they are."""

    entries: tuple[KvEntry, ...]

    code = "kv-conflict"


class CommitNotDone(NamedTuple):
    """The transaction provably never took effect and never will."""

    reason: str

    code = "kv-not-done"


class CommitUnknown(NamedTuple):
    """The transaction may have taken effect, or may still do so."""

    reason: str

    code = "kv-unknown"


CommitOutcome = CommitDone | CommitConflict | CommitNotDone | CommitUnknown


class LeaseGrant(NamedTuple):
    """A lease as the service granted it."""

    lease_id: int
    ttl_s: int


class KvPort(NamedTuple):
    """Functions of the key-value service; keys exclude the settings' prefix.

    Parameters
    ----------
    get : callable
        ``get(key) -> Result[KvEntry | None, KvUnavailable]``.
    get_prefix : callable
        ``get_prefix(prefix) -> Result[list[KvEntry], KvUnavailable]``.
    commit : callable
        ``commit(transaction) -> CommitOutcome``.
    grant_lease : callable
        ``grant_lease(ttl_s) -> Result[LeaseGrant, KvUnavailable]``.
    keep_alive : callable
        ``keep_alive(lease_id) -> Result[int, KvUnavailable | LeaseGone]``, the new
        time to live in seconds.
    revoke_lease : callable
        ``revoke_lease(lease_id) -> Result[None, KvUnavailable]``.
    """

    get: Callable[[str], Result[KvEntry | None, KvUnavailable]]
    get_prefix: Callable[[str], Result[list[KvEntry], KvUnavailable]]
    commit: Callable[[Transaction], CommitOutcome]
    grant_lease: Callable[[int], Result[LeaseGrant, KvUnavailable]]
    keep_alive: Callable[[int], Result[int, KvUnavailable | LeaseGone]]
    revoke_lease: Callable[[int], Result[None, KvUnavailable]]
