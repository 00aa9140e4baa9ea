"""One version of the operators' configuration."""

from enum import Enum
from typing import NamedTuple


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for a host and a path prefix are served.

    ``rank`` 0 is the most urgent. ``objective_ms`` is the time within which an answer
    (of a stream: its first event) is on time, ``timeout_ms`` the longest time that a
    request is kept. ``n_attempts`` is the largest number of upstreams that may run
    one request. ``max_pause_ms`` is the longest pause between a stream's events.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    objective_ms: float
    rank: int
    n_attempts: int
    is_public: bool
    is_resumable: bool
    max_pause_ms: float

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


class EngineSpec(NamedTuple):
    """What a model service's upstreams are like."""

    n_slots: int
    kv_capacity_tokens: int
    kv_bytes_per_token: int
    link_mbps: float


class Service(NamedTuple):
    """A service; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: EngineSpec | None


class PromptStore(NamedTuple):
    """A store of kept KV cache."""

    name: str
    address: str
    failure_domain: str
    capacity_tokens: int


class ClientAccount(NamedTuple):
    """A client account; ``rank`` None leaves the route's rank in force."""

    name: str
    rank: int | None
    is_isolated: bool


class ClientLimits(NamedTuple):
    """Bounds on what a client may send and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Configuration(NamedTuple):
    """One version; ``accounts`` maps each API key to its client account."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    prompt_stores: tuple[PromptStore, ...]
    accounts: dict[str, ClientAccount]
    requires_keys: bool
    limits: ClientLimits
