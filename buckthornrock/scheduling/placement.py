"""Data types of placement: the demand, the state it is placed on, and the outcomes."""

import enum
from typing import NamedTuple

from ..catalog.configuration import PromptStore, Route, Service
from ..catalog.upstreams import Upstream
from .loads import FleetLoads, Work
from .prefill import CacheView
from .prompt import PromptShape
from .weights import WeightsView

#: Distinct route ranks; higher ranks are treated as the last one.
N_ROUTE_RANKS = 3
#: Priority classes that engines support; class 0 is served first.
N_PRIORITY_CLASSES = 10


class Demand(NamedTuple):
    """What the scheduler needs to know of a request.

    ``prompt`` is None for plain services. ``cache_scope`` separates the cached parts
    of isolated client accounts.
    """

    request_id: str
    route: Route
    rank: int
    service: Service
    cache_scope: str
    prompt: PromptShape | None

    @property
    def urgency(self) -> int:
        """Scheduling order, lowest first: by rank, then by the route's rank."""
        return self.rank * N_ROUTE_RANKS + min(N_ROUTE_RANKS - 1, self.route.rank)

    @property
    def priority_class(self) -> int:
        """Priority at the engine, where the route's rank comes before the rank.

        Urgent routes have short prompts, which hardly delay other requests there.
        """
        route_rank = min(N_ROUTE_RANKS - 1, self.route.rank)
        return min(N_PRIORITY_CLASSES - 1, route_rank * N_ROUTE_RANKS + self.rank)

    @property
    def is_urgent(self) -> bool:
        """Whether the request's route has the most urgent rank."""
        return self.route.rank == 0


class SchedulingView(NamedTuple):
    """Snapshot of the state that placements are computed from.

    ``cache_only`` are upstreams that take no work, but whose caches may be fetched.
    """

    loads: FleetLoads
    weights: WeightsView
    prompt_stores: tuple[PromptStore, ...]
    failure_domain: str
    now_ms: float
    cache_only: tuple[Upstream, ...] = ()

    @property
    def caches(self) -> CacheView:
        """The part of this view that prefill plans are computed from."""
        return CacheView(self.loads, self.weights, self.prompt_stores, self.now_ms)


class CostTerms(NamedTuple):
    """Terms of an estimate; their sum is the estimate.

    ``queue_ms`` is the work that is already there, ``prefill_ms`` the time to fetch
    and prefill the prompt. The others are costs that make an upstream less preferred.
    """

    queue_ms: float
    failures_ms: float
    distance_ms: float
    long_prompts_ms: float = 0.0
    prefill_ms: float = 0.0
    no_affinity_ms: float = 0.0
    outdated_weights_ms: float = 0.0
    late_ms: float = 0.0

    @property
    def estimate_ms(self) -> float:
        """The sum of all terms."""
        return (
            self.queue_ms
            + self.failures_ms
            + self.distance_ms
            + self.long_prompts_ms
            + self.prefill_ms
            + self.no_affinity_ms
            + self.outdated_weights_ms
            + self.late_ms
        )


class Obstacle(enum.Enum):
    """Why an upstream isn't an option for a request; the values are shown."""

    NO_WEIGHTS = "the model is not loaded"
    OUTDATED_WEIGHTS = "its weights have been outdated for too long"
    BLOCKED = "blocked after a failed or refused request"
    LOADING = "loading weights"
    NO_SLOT = "no free slot"
    QUEUED_PREFILL = "too much queued prefill"
    NO_MEMORY = "not enough free memory"
    LATE_START = "its weights would be too old at the start"
    DEARER = "dearer than another one"


class Placement(NamedTuple):
    """The chosen upstream and the work that the request adds there.

    ``weights_version`` is the version that the upstream is expected to have loaded,
    which has been outdated for ``weights_lag_ms``; both are None without a prompt.
    ``queued_prefill_ms`` is the prefill that was queued there before the request.
    ``kv_source`` is the address of the engine or prompt store from which shared parts
    that are not cached at the chosen engine are fetched. ``kv_target`` is the address
    of the prompt store that should store the shared parts. Both are "" for none.
    ``terms`` are those of the estimate. ``is_overflow`` says that a long prompt found
    no place in time on the engines used for long prompts. ``prefill_factor`` is the
    engine's prefill time as a multiple of the mean, ``fetch_ms`` the time to fetch
    cached parts.
    """

    upstream: Upstream
    estimate_ms: float
    work: Work
    weights_version: int | None = None
    n_cached_tokens: int = 0
    kv_source: str = ""
    kv_target: str = ""
    weights_lag_ms: float | None = None
    queued_prefill_ms: float = 0.0
    terms: CostTerms | None = None
    is_overflow: bool = False
    fetch_ms: float = 0.0
    prefill_factor: float = 1.0


class NoCapacity(NamedTuple):
    """No upstream has capacity for the request now.

    ``n_usable`` is the number of upstreams that can serve it once capacity is free.
    """

    n_usable: int

    code = "no-place"
