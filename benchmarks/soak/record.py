"""What clients, upstreams and the tool itself saw in a run; the input of all checks.

Every time is in seconds of the monotonic clock of the tool's process.
"""

from collections import defaultdict
from typing import NamedTuple, TypeVar

T = TypeVar("T")


class Sent(NamedTuple):
    """A client sent a request; ``key`` is its API key."""

    at_s: float
    request_id: str
    route: str
    instance: str
    account: str = ""
    key: str = ""
    parts: tuple[str, ...] = ()
    n_tokens: int = 0
    body: bytes = b""


class Answered(NamedTuple):
    """A client got a response; status 0 if none, ``is_whole`` if it was complete."""

    at_s: float
    request_id: str
    status: int
    is_whole: bool = True
    body: bytes = b""
    #: The request id and the server stamp in the response, "" for none.
    echoed_id: str = ""
    stamp: str = ""
    error: str = ""
    #: Whether the client left before the end.
    has_left: bool = False


class Arrived(NamedTuple):
    """An upstream received a whole request; ``has_run`` is False if it refused it."""

    at_s: float
    request_id: str
    upstream_id: str
    has_run: bool = True
    body: bytes = b""


class Began(NamedTuple):
    """An engine began a request on a version of the weights.

    ``expected`` is the version that the request names, 0 for none.
    """

    at_s: float
    request_id: str
    upstream_id: str
    version: int
    expected: int


class Wanted(NamedTuple):
    """The store acknowledged the wanted version of the weights."""

    at_s: float
    version: int


class LeaseTaken(NamedTuple):
    """An instance took the lease that lets it send orders."""

    at_s: float
    holder: str


class Ordered(NamedTuple):
    """An engine received an order to load weights."""

    at_s: float
    order_id: str
    upstream_id: str
    holder: str
    fence: int
    version: int


class Executed(NamedTuple):
    """An engine began to load weights as an order says."""

    at_s: float
    order_id: str


class PartUsed(NamedTuple):
    """An engine used a cached part that ``maker_id`` of ``maker`` had computed."""

    at_s: float
    request_id: str
    account: str
    part: str
    maker_id: str
    maker: str


class Crashed(NamedTuple):
    """An engine crashed on a part of a prompt."""

    at_s: float
    upstream_id: str
    request_id: str
    part: str


class Left(NamedTuple):
    """The store acknowledged that an upstream is gone."""

    at_s: float
    upstream_id: str


class Limit(NamedTuple):
    """The quota of an account; ``counts_tokens`` or else requests."""

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: float = 0.0


class Configured(NamedTuple):
    """The store acknowledged a version of the configuration."""

    at_s: float
    version: int
    isolated: frozenset[str] = frozenset()
    limits: dict[str, Limit] = {}


class Disturbed(NamedTuple):
    """A fault lasted from ``at_s`` to ``until_s``.

    ``target`` is the name of an instance or upstream, "engines", "store" or "all", or
    what ``digests_of`` returns.
    """

    at_s: float
    until_s: float
    target: str
    name: str


def digests_of(instance: str) -> str:
    """Return the name of the digests that an instance exchanges, as a target."""
    return f"digests of {instance}"


class Sampled(NamedTuple):
    """Resources of an instance's process.

    ``starved_ms`` is the time since the last sample for which it waited for a core.
    """

    at_s: float
    instance: str
    memory_mb: float
    n_fds: int
    starved_ms: float = 0.0


class Lagged(NamedTuple):
    """The tool's own event loop was late."""

    at_s: float
    lag_ms: float


class Started(NamedTuple):
    """A process of an instance was started."""

    at_s: float
    instance: str


class Ended(NamedTuple):
    """A process ended that the tool had not told to."""

    at_s: float
    instance: str
    code: int


class Bounds(NamedTuple):
    """Bounds that the checks apply; those of times are far from what is usual."""

    drain_s: float = 2.0
    stable_s: float = 3.0
    config_s: float = 3.0
    #: Requests are calm if no fault lasted this long before them.
    calm_s: float = 5.0
    max_crash_requests: int = 3
    n_free_crashes: int = 5
    memory_mb: float = 300.0
    max_fds: int = 3_900
    quota_window_s: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 190_000.0
    #: Time for which requests may begin on replaced weights.
    version_s: float = 12.0
    #: Least time between the orders of two holders, where engines don't check fencing.
    lease_s: float = 3.0
    requires_fencing: bool = True


class Record:
    """Events of a run in the order in which they were noted."""

    def __init__(self, *events: NamedTuple, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self._by_type: dict[type, list] = defaultdict(list)
        for event in events:
            self.note(event)

    def note(self, event: NamedTuple) -> None:
        """Append an event."""
        self._by_type[type(event)].append(event)

    def all_of(self, kind: type[T]) -> list[T]:
        """Return the events of one type."""
        return self._by_type[kind]

    def sent_by_id(self) -> dict[str, Sent]:
        """Return what clients sent."""
        return {event.request_id: event for event in self.all_of(Sent)}
