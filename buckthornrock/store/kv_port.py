"""Interface to the key-value service, and the types of its calls.

Each stored value carries the id of the write, so that a write whose answer was lost is
recognised when the value is read back.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from expression import Result

from .errors import HistoryGone, KvUnavailable, LeaseGone

#: Reason of a write that was refused because its lease no longer exists.
LEASE_GONE = "lease gone"


#: Length of the id that precedes the payload of each value that the router writes to
#: the platform's store.
WRITE_ID_BYTES = 16


class KvEntry(NamedTuple):
    """A key with its value.

    ``write_id`` identifies the transaction that wrote the value.
    """

    key: str
    value: bytes
    mod_revision: int
    lease_id: int
    write_id: bytes


def payload(entry: KvEntry) -> bytes:
    """Return the value that the router wrote, without the write id."""
    return entry.value[WRITE_ID_BYTES:]


class Compare(NamedTuple):
    """Condition that ``key`` was last modified at ``mod_revision`` (0: absent)."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """Sets a key; if bound to a lease (0: none), it is deleted with the lease."""

    key: str
    value: bytes
    lease_id: int = 0


class Delete(NamedTuple):
    """Deletes a key."""

    key: str


class Transaction(NamedTuple):
    """Writes that take effect atomically if every comparison holds."""

    compares: tuple[Compare, ...]
    writes: tuple[Put | Delete, ...]


class CommitDone(NamedTuple):
    """The transaction took effect at ``revision``."""

    revision: int


class CommitConflict(NamedTuple):
    """A comparison failed, so nothing was written.

    ``entries`` are the current entries of the compared keys.
    """

    entries: tuple[KvEntry, ...]

    code = "kv-conflict"


class CommitNotDone(NamedTuple):
    """The transaction provably never took effect and never will."""

    reason: str

    code = "kv-not-done"


class CommitUnknown(NamedTuple):
    """The transaction may have taken effect, or may still do so.

    ``write_id`` is the id that its values carry. ``entries`` are the compared entries
    if the service returned them: another writer has changed them since, perhaps
    overwriting this transaction's own values.
    """

    reason: str
    write_id: bytes = b""
    entries: tuple[KvEntry, ...] = ()

    code = "kv-unknown"


CommitOutcome = CommitDone | CommitConflict | CommitNotDone | CommitUnknown


class LeaseGrant(NamedTuple):
    """A lease as the service granted it."""

    lease_id: int
    ttl_s: int


class WatchBatch(NamedTuple):
    """The last change of each key under a watched prefix, up to ``revision``."""

    revision: int
    entries: tuple[KvEntry, ...]
    deleted: tuple[str, ...]


def _no_watch(prefix: str, start_revision: int) -> Iterator[WatchBatch]:
    return iter(())


class KvPort(NamedTuple):
    """Functions of the key-value service; keys exclude the configured prefix.

    Parameters
    ----------
    get : callable
        ``get(key) -> Result[KvEntry | None, KvUnavailable]``.
    get_prefix : callable
        ``get_prefix(prefix) -> Result[list[KvEntry], KvUnavailable]``.
    commit : callable
        ``commit(transaction, limit_ms=...) -> CommitOutcome``. If an answer is lost,
        the same transaction is retried with the same write id until the outcome is
        definite or the limit has passed. At least one written key should be compared:
        only then can a late copy have no second effect.
    grant_lease : callable
        ``grant_lease(ttl_s) -> Result[LeaseGrant, KvUnavailable]``.
    keep_alive : callable
        ``keep_alive(lease_id) -> Result[int, KvUnavailable | LeaseGone]``, the new
        time to live in seconds.
    revoke_lease : callable
        ``revoke_lease(lease_id) -> Result[None, KvUnavailable]``.
    watch : callable
        ``watch(prefix, start_revision) -> Iterator[WatchBatch]``; revision 0 watches
        from now on. The first batch is empty and says that the watch is established;
        later empty ones say that it is still alive. It ends when the service ends it,
        fails, or is silent for long.
    is_answering : callable
        ``is_answering() -> bool``; False while the circuit breaker is open.
    """

    get: Callable[[str], Result[KvEntry | None, KvUnavailable]]
    get_prefix: Callable[[str], Result[list[KvEntry], KvUnavailable]]
    commit: Callable[..., CommitOutcome]
    grant_lease: Callable[[int], Result[LeaseGrant, KvUnavailable]]
    keep_alive: Callable[[int], Result[int, KvUnavailable | LeaseGone]]
    revoke_lease: Callable[[int], Result[None, KvUnavailable]]
    watch: Callable[[str, int], Iterator[WatchBatch]] = _no_watch
    is_answering: Callable[[], bool] = lambda: True


class Snapshot(NamedTuple):
    """All entries under a prefix; a watch from ``revision`` on misses no change."""

    revision: int
    entries: tuple[KvEntry, ...]


class StorePort(NamedTuple):
    """Functions of a store that is watched by long polling; each call blocks.

    Parameters
    ----------
    get : callable
        ``get(key) -> Result[KvEntry | None, KvUnavailable]``.
    snapshot : callable
        ``snapshot(prefix, may_be_stale) -> Result[Snapshot, KvUnavailable]``. A read
        that may be seconds old is cheaper for the store.
    poll : callable
        ``poll(prefix, after_revision, wait_ms)`` returns ``Result[WatchBatch,
        KvUnavailable | HistoryGone]``.
    commit : callable
        ``commit(transaction) -> CommitOutcome``.
    grant_lease : callable
        ``grant_lease(ttl_s) -> Result[LeaseGrant, KvUnavailable]``.
    keep_alive : callable
        ``keep_alive(lease_id) -> Result[float, KvUnavailable | LeaseGone]``.
    revoke_lease : callable
        ``revoke_lease(lease_id) -> Result[None, KvUnavailable]``.
    """

    get: Callable[[str], Result[KvEntry | None, KvUnavailable]]
    snapshot: Callable[[str, bool], Result[Snapshot, KvUnavailable]]
    poll: Callable[[str, int, float], Result[WatchBatch, KvUnavailable | HistoryGone]]
    commit: Callable[[Transaction], CommitOutcome]
    grant_lease: Callable[[float], Result[LeaseGrant, KvUnavailable]]
    keep_alive: Callable[[int], Result[float, KvUnavailable | LeaseGone]]
    revoke_lease: Callable[[int], Result[None, KvUnavailable]]
