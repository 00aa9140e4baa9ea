"""Accounts for what clients make one HTTP server hold, and chooses whom to refuse.

No socket and no clock is used here, so that the choice can be tested by itself. All
methods may be called from any thread.
"""

import threading
from collections import defaultdict
from collections.abc import Callable, Container
from enum import Enum, auto
from typing import NamedTuple

#: Memory of a connection's objects, with a margin: 4,000 idle ones took 3,089 bytes
#: each.
CONNECTION_BYTES = 8_192
#: Memory of a header field's name and value, as bytes and as text, and of the entries
#: in two dictionaries.
FIELD_BYTES = 400
#: Copies of a body that is decoded: text of up to four bytes per character, twice, and
#: the encoded request to the upstream.
DECODED_BYTES_PER_BYTE = 11
#: Memory of a decoded JSON value behind a comma, and of an array or object.
VALUE_BYTES = 64
CONTAINER_BYTES = 96
#: Upper bound of what a body that is decoded takes: ``[],`` repeated takes 65 times its
#: size. Text with more brackets than that takes less, as they are only characters.
MAX_DECODED_BYTES_PER_BYTE = 65
#: Share of the budget that one client address may use.
ADDRESS_SHARE = 7 / 8
#: A connection that made no progress for so long is closed before others.
STALL_MS = 1_000.0


class Phase(Enum):
    """What a connection is doing."""

    ARRIVING = auto()
    SERVED = auto()
    SENDING = auto()


class Limit(Enum):
    """A limit that was reached; the value is its label in metrics and logs."""

    CONNECTIONS = "connections"
    HELD_BYTES = "held_bytes"
    THREADS = "threads"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    SEND_TIMEOUT = "send_timeout"
    BODY_BYTES = "body_bytes"
    HEAD_BYTES = "head_bytes"


class Holder:
    """What one connection holds.

    Attributes
    ----------
    address : str
        The client's address.
    owner : object
        The connection itself.
    """

    __slots__ = ("address", "is_open", "n_bytes", "owner", "phase", "progressed_at_ms")

    def __init__(self, address: str, owner: object, now_ms: float) -> None:
        self.address = address
        self.owner = owner
        self.n_bytes = 0
        self.phase = Phase.ARRIVING
        self.progressed_at_ms = now_ms
        self.is_open = True


class _Total:
    __slots__ = ("n_bytes", "n_connections")

    def __init__(self) -> None:
        self.n_bytes = 0
        self.n_connections = 0


class BudgetLimits(NamedTuple):
    """Limits of one server; 0 means no limit."""

    max_held_bytes: int = 0
    max_connections: int = 0


class ClientBudget:
    """Counts connections and held bytes, in all and by client address.

    Parameters
    ----------
    limits : BudgetLimits
    now_ms : callable
        Monotonic clock.
    """

    def __init__(self, limits: BudgetLimits, now_ms: Callable[[], float]) -> None:
        self._limits = limits
        self._now_ms = now_ms
        self._lock = threading.Lock()
        self._holders: set[Holder] = set()
        self._all = _Total()
        self._addresses: dict[str, _Total] = defaultdict(_Total)

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return self._all.n_connections

    @property
    def n_held_bytes(self) -> int:
        """Bytes held for all connections."""
        return self._all.n_bytes

    def open(self, address: str, owner: object) -> Holder:
        """Count a new connection."""
        holder = Holder(address, owner, self._now_ms())
        with self._lock:
            self._holders.add(holder)
            for total in (self._all, self._addresses[address]):
                total.n_connections += 1
            self._add(holder, CONNECTION_BYTES)
        return holder

    def close(self, holder: Holder) -> None:
        """Forget a connection; further calls for it have no effect."""
        with self._lock:
            if not holder.is_open:
                return
            self._add(holder, -holder.n_bytes)
            holder.is_open = False
            self._holders.remove(holder)
            for total in (self._all, self._addresses[holder.address]):
                total.n_connections -= 1
            if not self._addresses[holder.address].n_connections:
                del self._addresses[holder.address]

    def hold(self, holder: Holder, n_bytes: int, phase: Phase) -> None:
        """Set what a connection holds, besides itself, and what it is doing.

        More or less than before counts as progress.
        """
        with self._lock:
            change = CONNECTION_BYTES + n_bytes - holder.n_bytes
            if change or phase is not holder.phase:
                holder.progressed_at_ms = self._now_ms()
            holder.phase = phase
            if change and holder.is_open:
                self._add(holder, change)

    def note_progress(self, holder: Holder) -> None:
        """Remember that the client took or sent something."""
        holder.progressed_at_ms = self._now_ms()

    def reached_limit(self, holder: Holder) -> Limit | None:
        """Return the limit that is exceeded, if ``holder`` counts towards it."""
        limits = self._limits
        with self._lock:
            if not holder.is_open:
                return None
            if 0 < limits.max_connections < self._all.n_connections:
                return Limit.CONNECTIONS
            if self._exceeds_bytes(holder.address):
                return Limit.HELD_BYTES
        return None

    def choose(
        self, holder: Holder, limit: Limit, passed_over: Container[Holder]
    ) -> Holder | None:
        """Return the connection to refuse or close first, or None if there is none.

        It belongs to the client address that holds most; one that makes no progress
        comes first, then the one that holds most. Requests that are being served are
        never chosen, as they may have run.
        """
        by_connections = limit is Limit.CONNECTIONS
        with self._lock:
            own_total = self._addresses[holder.address]
            exceeds_share = not by_connections and (
                own_total.n_bytes > ADDRESS_SHARE * self._limits.max_held_bytes
            )
            candidates = [
                other
                for other in self._holders
                if other.phase is not Phase.SERVED
                and other not in passed_over
                and not (exceeds_share and other.address != holder.address)
            ]
            if not candidates:
                return None
            stalled_since_ms = self._now_ms() - STALL_MS

            def weight(other: Holder) -> tuple:
                total = self._addresses[other.address]
                return (
                    total.n_connections if by_connections else total.n_bytes,
                    other.address,
                    other.progressed_at_ms < stalled_since_ms,
                    other.n_bytes,
                    -other.progressed_at_ms,
                )

            return max(candidates, key=weight)

    def choose_unread(self) -> Holder | None:
        """Return a connection whose client takes nothing of its response.

        It belongs to the client address that has most such connections.
        """
        with self._lock:
            stalled_since_ms = self._now_ms() - STALL_MS
            stalled = [
                other
                for other in self._holders
                if other.phase is Phase.SENDING
                and other.progressed_at_ms < stalled_since_ms
            ]
            n_stalled: dict[str, int] = defaultdict(int)
            for other in stalled:
                n_stalled[other.address] += 1
            return max(
                stalled,
                key=lambda other: (n_stalled[other.address], -other.progressed_at_ms),
                default=None,
            )

    def _exceeds_bytes(self, address: str) -> bool:
        max_bytes = self._limits.max_held_bytes
        if not max_bytes:
            return False
        own_bytes = self._addresses[address].n_bytes
        return self._all.n_bytes > max_bytes or own_bytes > ADDRESS_SHARE * max_bytes

    def _add(self, holder: Holder, change: int) -> None:
        holder.n_bytes += change
        self._all.n_bytes += change
        self._addresses[holder.address].n_bytes += change


def head_cost_bytes(head: bytes | bytearray) -> int:
    """Return the memory that the fields of a head take once they are parsed."""
    return FIELD_BYTES * head.count(b"\n")


def decoded_cost_bytes(body: bytes) -> int:
    """Return an upper bound of the memory that decoding a JSON body takes.

    Commas and brackets within strings count as well.
    """
    n_containers = body.count(b"[") + body.count(b"{")
    return min(
        MAX_DECODED_BYTES_PER_BYTE * len(body),
        DECODED_BYTES_PER_BYTE * len(body)
        + VALUE_BYTES * body.count(b",")
        + CONTAINER_BYTES * n_containers,
    )
