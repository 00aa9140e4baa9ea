"""Data types of the operators' configuration."""

from enum import Enum
from typing import NamedTuple

from ..admission.quota_limits import AccountLimit


class RouteKind(Enum):
    """Whether a route's requests may be retried, and how."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service and its weight in the distribution of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for a host and a path prefix are served.

    ``rank`` 0 is the most urgent. ``objective_ms`` is the latency objective: an answer
    (of a stream: its first event) within it is on time. ``timeout_ms`` is the longest
    time that a request may take. ``n_attempts`` is the maximum number of upstreams
    that may run one request. ``max_pause_ms`` is the longest pause between two events
    of a stream.
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
        """Whether a request may be retried after an attempt that may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


class EngineSpec(NamedTuple):
    """Capacity of each engine of a model service."""

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
    """A prompt store, which stores KV cache outside the engines.

    ``link_mbps`` is the transfer rate of its link, 0 if the configuration has none.
    """

    name: str
    address: str
    failure_domain: str
    capacity_tokens: int
    link_mbps: float = 0.0


class ClientAccount(NamedTuple):
    """A client account; with ``rank`` None the route's rank applies."""

    name: str
    rank: int | None
    limit: AccountLimit | None = None


class ClientLimits(NamedTuple):
    """Limits on the size of a client's requests and on slow or idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Configuration(NamedTuple):
    """A version of the configuration.

    ``accounts`` maps API keys to accounts. ``isolated_accounts`` names the accounts
    that share no cached part with any other one, whether they have a key or not.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    prompt_stores: tuple[PromptStore, ...]
    accounts: dict[str, ClientAccount]
    requires_keys: bool
    limits: ClientLimits
    isolated_accounts: frozenset[str] = frozenset()
