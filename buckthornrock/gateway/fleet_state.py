"""An instance's view of the configuration, the upstreams, their weights and loads.

It joins the parts of this view, each of which is a module of its own. The store, peers
and this instance's own requests update it. It is not thread-safe: it is used on the
event loop's thread only.
"""

import math
import random
from collections.abc import Callable

from ..catalog.configuration import Configuration
from ..catalog.upstreams import Incarnation, UpstreamDirectory
from ..scheduling.cached_parts import PartKey
from ..scheduling.crash_suspects import CrashSuspects
from ..scheduling.loads import FleetLoads
from ..scheduling.placement import SchedulingView
from ..scheduling.prefill import prompt_store_incarnation
from ..scheduling.weights import WeightsView
from ..telemetry import Telemetry
from .cached_part_recorder import CachedPartRecorder
from .configuration_in_force import ConfigurationInForce
from .crash_findings import CrashFindings
from .incarnation_index import IncarnationIndex
from .notice_recorder import NoticeRecorder
from .state_observers import StateObservers
from .store_contact import StoreContact
from .undecodable_log import UndecodableLog
from .upstream_replica import UpstreamReplica
from .wanted_versions import WantedVersions
from .weights_loads import WeightsLoads

#: Instances probe a quarantined part at times that differ by up to this much.
MAX_PROBE_DELAY_MS = 2_000.0


class FleetState:
    """Configuration in force, upstream directory, weights versions and loads.

    Attributes
    ----------
    configuration : ConfigurationInForce
        The configuration in force and the isolated accounts.
    directory : UpstreamDirectory
        Live upstreams.
    upstreams : UpstreamReplica
        Keeps the directory up to date with the store.
    incarnations : IncarnationIndex
        Upstreams and prompt stores by the numbers that digests name them by.
    weights : WeightsView
        Wanted and loaded versions of each model's weights.
    wanted_versions : WantedVersions
        Records wanted versions in ``weights``.
    weights_loads : WeightsLoads
        Records loaded versions in ``weights``, and holds the loads in progress.
    loads : FleetLoads
        Work at the upstreams and the parts that they cache.
    cached_parts : CachedPartRecorder
        Records cached parts in ``loads``.
    notices : NoticeRecorder
        Records what upstreams say of themselves.
    log_undecodable : callable
        ``log_undecodable(what, reason)`` logs a value from the store or a peer that
        cannot be decoded.
    crash_findings : CrashFindings
        Shared parts of prompts that crash engines.
    store_contact : StoreContact
        How old the store's newest confirmation of this state is.
    is_watching_store : bool
        Whether this instance watches the store itself.
    """

    def __init__(
        self,
        failure_domain: str,
        weights: WeightsView,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self._failure_domain = failure_domain
        self._now_ms = now_ms
        self._observers = observers = StateObservers()
        self.is_watching_store = False
        self.directory = UpstreamDirectory()
        self.weights = weights
        self.loads = FleetLoads()
        probe_delay_ms = random.uniform(0.0, MAX_PROBE_DELAY_MS)
        self.crash_findings = CrashFindings(
            CrashSuspects(probe_delay_ms), now_ms, telemetry
        )
        self.store_contact = StoreContact(now_ms, telemetry)
        self.log_undecodable = UndecodableLog(telemetry, now_ms).log
        self.configuration = ConfigurationInForce(telemetry)
        self.incarnations = IncarnationIndex(self.loads.times)
        self.wanted_versions = WantedVersions(weights, observers, now_ms, telemetry)
        self.weights_loads = WeightsLoads(
            weights, self.loads, self.directory, observers, now_ms
        )
        self.cached_parts = CachedPartRecorder(
            self.loads, self.directory, self.configuration, observers, now_ms
        )
        self.notices = NoticeRecorder(
            self.directory.notices, observers, now_ms, telemetry
        )
        self.upstreams = UpstreamReplica(
            self.directory,
            self.store_contact,
            self.weights_loads.on_listed,
            self._index_incarnations,
            self.log_undecodable,
            now_ms,
            telemetry,
        )

    @property
    def needs_peers(self) -> bool:
        """Whether changes are to be learnt from peers, not from the store itself."""
        is_watched = self.is_watching_store and not self.store_contact.is_failing
        return not self.upstreams.has_listing or not is_watched

    @property
    def is_complete(self) -> bool:
        """Whether enough state has arrived to serve requests."""
        return self.configuration.table is not None and self.upstreams.has_listing

    def store_age_ms(self) -> float | None:
        """Return the time since the store last confirmed this state, None if never."""
        age_ms = self.store_contact.age_ms()
        return round(age_ms, 1) if math.isfinite(age_ms) else None

    def view(self) -> SchedulingView:
        """Return the inputs for choosing an upstream."""
        stores = self.configuration.prompt_stores
        now_ms = self._now_ms()
        cache_only = tuple(self.directory.cache_only(now_ms))
        return SchedulingView(
            self.loads, self.weights, stores, self._failure_domain, now_ms, cache_only
        )

    def on_configuration(
        self, configuration: Configuration, encoded: bytes, source: str
    ) -> None:
        """Put a configuration in force unless the current one is as new or newer.

        ``encoded`` is sent to peers that cannot reach the store.
        """
        if self.configuration.replace(configuration, encoded, source):
            self._index_incarnations()
            self.publish_now()

    def retain_live(self) -> set[Incarnation]:
        """Drop the loads of removed upstreams; return the live incarnations."""
        incarnations = {upstream.incarnation for upstream in self.directory.all()}
        self.directory.retain_notices(self._now_ms())
        stores = self.configuration.prompt_stores
        self.loads.retain(incarnations | {prompt_store_incarnation(s) for s in stores})
        return incarnations

    def set_observers(
        self,
        on_part_cached: Callable[[Incarnation, PartKey, int, float], None],
        on_loaded: Callable[[Incarnation, str, int], None],
        on_leaving: Callable[[Incarnation], None],
        on_urgent: Callable[[], None],
    ) -> None:
        """Set the callbacks that publish this instance's own findings to peers.

        ``on_urgent`` sends a digest at once.
        """
        self._observers.on_part_cached = on_part_cached
        self._observers.on_loaded = on_loaded
        self._observers.on_leaving = on_leaving
        self._observers.on_urgent = on_urgent

    def publish_now(self) -> None:
        """Send a digest to peers without waiting for the next period."""
        self._observers.on_urgent()

    def _index_incarnations(self) -> None:
        stores = self.configuration.prompt_stores
        self.incarnations.rebuild(self.directory.all(), stores)
