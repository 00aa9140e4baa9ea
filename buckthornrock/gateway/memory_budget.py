"""Accounts for what the connections of clients hold, and picks the one to give way.

Does no I/O and keeps no clock: the caller passes the time, and refuses or closes the
connection that is picked.

Memory and connections are shared by client address. When either is exhausted, the
connection to give way is one of the address that holds most, so that a group of clients
that shares few addresses can't use up what the others need.
"""

import enum
import math
from collections.abc import Iterable
from typing import Any, NamedTuple

#: Memory of a process without clients, including the state of a fleet of 340 instances,
#: and room for what isn't counted: garbage, fragments and copies in passing.
PROCESS_BYTES = 76_000_000
#: Part of the remaining memory that connections may hold by their own count. The rest
#: is for the allocator, which wastes some space beside buffers that grow.
COUNTED_SHARE = 0.75
#: Descriptors that are reserved for files, the store, peers and listening sockets.
N_RESERVED_DESCRIPTORS = 200
#: Parts of the other descriptors: a request that is served needs one for its client
#: and one for its upstream; idle connections to upstreams use the rest.
CLIENTS_SHARE = 0.4
#: A connection without any bytes: its objects and its socket's.
CONNECTION_BYTES = 12_000
#: Objects for one request that is served: its task, exchange and queue entry.
REQUEST_BYTES = 24_000
#: One header field beside its text: the tuples and strings of the parsed request and
#: of the request to the upstream.
FIELD_BYTES = 600
#: A client that sent or took nothing for this long makes no progress.
STALL_MS = 500.0
#: Bounds of the bytes that may wait for one client that reads slowly.
MIN_UNSENT_BYTES = 65_536
MAX_UNSENT_BYTES = 8_388_608
#: Part of the free memory that may wait for one client that reads slowly.
UNSENT_SHARE = 1 / 16


class Activity(enum.Enum):
    """What a connection does; the value weighs its bytes in the choice of a victim.

    A request that waits for an upstream is kept longest: its client does nothing wrong
    and the upstream may already have run it.
    """

    STALLED = 4
    RECEIVING = 2
    SERVING = 1


class BudgetLimits(NamedTuple):
    """What all connections of clients may hold together."""

    max_bytes: float = math.inf
    max_connections: float = math.inf


class Holding:
    """What one connection holds.

    Attributes
    ----------
    owner : object
        The connection.
    address : str
        The client's address, without its port.
    n_bytes : int
        Bytes that it holds.
    progressed_at_ms : float
        When the client last sent or took any bytes.
    is_serving : bool
        Whether its request waits for an upstream.
    """

    __slots__ = ("owner", "address", "n_bytes", "progressed_at_ms", "is_serving")

    def __init__(self, owner: Any, address: str, now_ms: float) -> None:
        self.owner = owner
        self.address = address
        self.n_bytes = 0
        self.progressed_at_ms = now_ms
        self.is_serving = False

    def activity(self, now_ms: float) -> Activity:
        """Return what the connection does."""
        if self.is_serving:
            return Activity.SERVING
        is_stalled = now_ms - self.progressed_at_ms >= STALL_MS
        return Activity.STALLED if is_stalled else Activity.RECEIVING


class _AddressHoldings:
    """What the connections of one client address hold."""

    __slots__ = ("n_bytes", "holdings")

    def __init__(self) -> None:
        self.n_bytes = 0
        self.holdings: set[Holding] = set()


class MemoryBudget:
    """Sums of what all connections hold, by client address.

    Attributes
    ----------
    limits : BudgetLimits
        What they may hold together.
    n_bytes : int
        Bytes that they hold.
    n_connections : int
        Number of connections.
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self.limits = limits
        self.n_bytes = 0
        self.n_connections = 0
        self._by_address: dict[str, _AddressHoldings] = {}

    def open(self, owner: Any, address: str, now_ms: float) -> Holding:
        """Begin to account for a connection."""
        holding = Holding(owner, address, now_ms)
        self._by_address.setdefault(address, _AddressHoldings()).holdings.add(holding)
        self.n_connections += 1
        self.hold(holding, CONNECTION_BYTES)
        return holding

    def close(self, holding: Holding) -> None:
        """Stop accounting for a connection; a second call does nothing."""
        of_address = self._by_address.get(holding.address)
        if of_address is None or holding not in of_address.holdings:
            return
        self.hold(holding, 0)
        of_address.holdings.remove(holding)
        self.n_connections -= 1
        if not of_address.holdings:
            del self._by_address[holding.address]
        # The connection refers to its holding; a cycle would keep both.
        holding.owner = None

    def hold(self, holding: Holding, n_bytes: int) -> None:
        """Record that a connection holds ``n_bytes`` now."""
        added = n_bytes - holding.n_bytes
        if not added:
            return
        of_address = self._by_address.get(holding.address)
        if of_address is None or holding not in of_address.holdings:
            return
        holding.n_bytes = n_bytes
        of_address.n_bytes += added
        self.n_bytes += added

    @property
    def is_over_memory(self) -> bool:
        """Whether the connections hold more bytes than they may."""
        return self.n_bytes > self.limits.max_bytes

    @property
    def is_over_connections(self) -> bool:
        """Whether there are more connections than there may be."""
        return self.n_connections > self.limits.max_connections

    def unsent_limit(self) -> float:
        """Return how many bytes may wait for one client that reads slowly."""
        free = (self.limits.max_bytes - self.n_bytes) * UNSENT_SHARE
        return min(MAX_UNSENT_BYTES, max(MIN_UNSENT_BYTES, free))

    def pick_for_memory(self, now_ms: float) -> Holding | None:
        """Return which connection is to give up its memory; None without any.

        Of the address that holds most, it is the one that holds most, where bytes of a
        connection without progress count more.
        """
        return max(
            self._largest(lambda of_address: of_address.n_bytes),
            key=lambda h: (h.n_bytes * h.activity(now_ms).value, -h.progressed_at_ms),
            default=None,
        )

    def pick_for_connections(self, now_ms: float) -> Holding | None:
        """Return which connection is to be closed; None without any.

        Of the address that has most connections, it is the one without progress for
        the longest time, unless its request waits for an upstream.
        """
        return min(
            self._largest(lambda of_address: len(of_address.holdings)),
            key=lambda h: (h.is_serving, h.progressed_at_ms),
            default=None,
        )

    def _largest(self, size) -> Iterable[Holding]:
        largest = max(self._by_address.values(), key=size, default=None)
        return largest.holdings if largest is not None else ()


def budget_limits(memory_bytes: float, n_descriptors: int) -> BudgetLimits:
    """Return what clients may hold in a process with these limits."""
    free = max(0.0, memory_bytes - PROCESS_BYTES)
    return BudgetLimits(free * COUNTED_SHARE, n_client_connections(n_descriptors))


def n_client_connections(n_descriptors: int) -> int:
    """Return how many connections of clients a process may have."""
    return int(max(1, n_descriptors - N_RESERVED_DESCRIPTORS) * CLIENTS_SHARE)


def n_upstream_connections(n_descriptors: int) -> int:
    """Return how many connections to upstreams a process may have, idle ones too."""
    n_free = max(1, n_descriptors - N_RESERVED_DESCRIPTORS)
    return n_free - n_client_connections(n_descriptors)
