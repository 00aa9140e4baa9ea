"""An instance's view of the configuration, the upstreams, their weights and loads.

The store, peers and this instance's own requests update it. It is not thread-safe: it
is used on the event loop's thread only.
"""

import math
import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from ..catalog.cache_scopes import merge_isolated
from ..catalog.change_log import ChangeLog, ChangeWindow
from ..catalog.configuration import ClientLimits, Configuration
from ..catalog.isolation_record import merge_record
from ..catalog.route_table import RouteTable
from ..catalog.upstream_notices import Notice, granted_quiet_ms
from ..catalog.upstreams import (
    Incarnation,
    Upstream,
    UpstreamChange,
    UpstreamDirectory,
    oddity,
)
from ..events import gateway as events
from ..rollout.plan import RolloutEngine
from ..rollout.port import RolloutInputs
from ..scheduling.cached_parts import PartKey
from ..scheduling.choice import SchedulingView
from ..scheduling.crash_suspects import CrashSuspects
from ..scheduling.loads import FleetLoads
from ..scheduling.prefill import MIN_SHARED_TOKENS, prompt_store_incarnation
from ..scheduling.weights import WeightsView
from ..telemetry import Telemetry
from .crash_findings import CrashFindings
from .incarnation_index import IncarnationIndex
from .store_contact import LOST_AFTER_MS, StoreContact
from .undecodable_log import UndecodableLog

#: Share of an engine's or prompt store's cache in which shared parts are assumed to
#: stay; beyond it they are assumed to be evicted.
CACHE_SHARE = 0.7
#: A peer's report extends a known weights load only if it ends this much later.
LOADING_SLACK_MS = 250.0
#: Instances probe a quarantined part at times that differ by up to this much.
MAX_PROBE_DELAY_MS = 2_000.0


class Loading(NamedTuple):
    """Weights that an engine is loading.

    ``is_from_group`` tells whether this instance or one of its followers started the
    load.
    """

    model: str
    version: int
    until_ms: float
    is_from_group: bool


class FleetState:
    """Configuration in force, upstream directory, weights versions and loads.

    Attributes
    ----------
    table : RouteTable or None
        The configuration in force, None before any; its version never decreases.
    encoded_configuration : bytes
        The configuration in force as the operators wrote it, b"" before any.
    directory : UpstreamDirectory
        Live upstreams.
    weights : WeightsView
        Wanted and loaded versions of each model's weights.
    loads : FleetLoads
        Work at the upstreams and the parts that they cache.
    incarnations : IncarnationIndex
        Upstreams and prompt stores by the numbers that digests name them by.
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
        self.table: RouteTable | None = None
        self.encoded_configuration = b""
        self.directory = UpstreamDirectory()
        self.weights = weights
        self.loads = FleetLoads()
        self.incarnations = IncarnationIndex(self.loads.times)
        probe_delay_ms = random.uniform(0.0, MAX_PROBE_DELAY_MS)
        self.crash_findings = CrashFindings(
            CrashSuspects(probe_delay_ms), now_ms, telemetry
        )
        self._failure_domain = failure_domain
        self._now_ms = now_ms
        self._telemetry = telemetry
        self.store_contact = StoreContact(now_ms, telemetry)
        self.is_watching_store = False
        self.log_undecodable = UndecodableLog(telemetry, now_ms).log
        self._changes = ChangeLog()
        self._isolated_accounts: frozenset[str] = frozenset()
        self._has_upstreams = False
        self._loading: dict[Incarnation, Loading] = {}
        self.set_observers(
            lambda *_: None, lambda *_: None, lambda *_: None, lambda: None
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force, 0 before there is one."""
        return self.table.configuration.version if self.table else 0

    @property
    def revision(self) -> int:
        """Store revision up to which this state is complete, 0 before any."""
        return self.directory.revision

    @property
    def needs_peers(self) -> bool:
        """Whether changes are to be learnt from peers, not from the store itself."""
        is_watched = self.is_watching_store and not self.store_contact.is_failing
        return not self._has_upstreams or not is_watched

    @property
    def is_complete(self) -> bool:
        """Whether enough state has arrived to serve requests."""
        return self.table is not None and self._has_upstreams

    def store_age_ms(self) -> float | None:
        """Return the time since the store last confirmed this state, None if never."""
        age_ms = self.store_contact.age_ms()
        return round(age_ms, 1) if math.isfinite(age_ms) else None

    def limits(self) -> ClientLimits:
        """Return the limits on clients, the defaults before any configuration."""
        return self.table.configuration.limits if self.table else ClientLimits()

    def view(self) -> SchedulingView:
        """Return the inputs for choosing an upstream."""
        stores = self.table.configuration.prompt_stores if self.table else ()
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
        if self.table and configuration.version <= self.table.configuration.version:
            return
        replaced_version = self.configuration_version
        self.encoded_configuration = encoded
        self._isolated_accounts = merge_isolated(
            self._isolated_accounts, (), configuration
        )
        self.table = RouteTable(configuration, self._isolated_accounts)
        self._telemetry.log(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            replaced_version=replaced_version,
            source=source,
            n_routes=len(configuration.routes),
            n_bytes=len(encoded),
            cache_scope=self.table.cache_scope(None),
        )
        self._index_incarnations()
        self._publish_now()

    @property
    def isolated_or_removed_accounts(self) -> frozenset[str]:
        """Accounts that are isolated, or were when they were removed.

        Before any configuration these are the accounts that peers or the store named.
        """
        return self._isolated_accounts

    @property
    def removed_isolated_accounts(self) -> frozenset[str]:
        """Accounts that were isolated when they were removed."""
        if self.table is None:
            return frozenset()
        return self._isolated_accounts - self.table.configuration.isolated_accounts

    def on_removed_isolated_accounts(self, names: Collection[str], source: str) -> None:
        """Remember accounts that were isolated when they were removed.

        ``source`` is a peer or the store, and may name accounts that still exist.
        """
        if not names:
            return
        if self.table is None:
            # The first configuration tells which of them were removed.
            self._isolated_accounts = merge_record(self._isolated_accounts, names)
            return
        configuration = self.table.configuration
        merged = merge_isolated(self._isolated_accounts, names, configuration)
        if merged == self._isolated_accounts:
            return
        self._isolated_accounts = merged
        self.table = RouteTable(configuration, merged)
        self._telemetry.log(
            events.CACHE_SCOPE_CHANGED,
            source=source,
            n_removed_accounts=len(self.removed_isolated_accounts),
            cache_scope=self.table.cache_scope(None),
        )

    def on_weights(
        self, model: str, version: int, source: str, age_ms: float = 0.0
    ) -> None:
        """Record a version of a model's weights that has been wanted for ``age_ms``."""
        if self.weights.on_wanted(model, version, self._now_ms() - age_ms):
            self._telemetry.log(
                events.WEIGHTS_WANTED,
                model=model,
                version=version,
                source=source,
                age_ms=round(age_ms, 1),
            )
            self._publish_now()

    def replace_upstreams(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Replace the upstreams by a full listing, which the store confirms.

        A listing older than the known state is ignored.
        """
        if revision < self.revision:
            return
        before = self._upstream_states()
        self.directory.replace(upstreams, revision, self._now_ms())
        self._has_upstreams = True
        self._changes.restart(revision)
        self._log_changes(before)

    def take_upstreams(
        self, upstreams: Iterable[Upstream], revision: int, store_age_ms: int
    ) -> None:
        """Replace the upstreams by a peer's listing if that is newer.

        The store confirmed it ``store_age_ms`` ago, -1 for never.
        """
        if revision <= self.revision:
            return
        if 0 <= store_age_ms <= LOST_AFTER_MS:
            self.store_contact.on_confirmed(store_age_ms)
            self.replace_upstreams(upstreams, revision)
            return
        self._copy_upstreams(upstreams, revision)

    def _copy_upstreams(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Replace the upstreams by a peer's listing while the store is unreachable."""
        before = self._upstream_states()
        self.directory.copy(upstreams, revision)
        self._has_upstreams = True
        self._changes.restart(revision)
        self._log_changes(before)

    def change_upstreams(
        self, changed: Iterable[Upstream], removed: Iterable[str], revision: int
    ) -> None:
        """Apply changes of the upstreams from the store.

        Changes that are older than the known state, which peers may have told
        meanwhile, are ignored.
        """
        changed, removed = tuple(changed), tuple(removed)
        if revision <= self.revision or not (changed or removed):
            self.directory.confirm(max(revision, self.revision), self._now_ms())
            return
        before = self._upstream_states()
        self._publish_listed_weights(changed)
        self.directory.apply(changed, removed, revision, self._now_ms())
        # Also those that change nothing here: a peer may know an entry's value that was
        # written and overwritten between two calls of this instance.
        changes = [UpstreamChange(revision, name, None) for name in removed]
        changes += [UpstreamChange(revision, u.upstream_id, u) for u in changed]
        self._changes.record(changes, self._now_ms())
        self._log_changes(before)

    def follow_changes(self, window: ChangeWindow, revision: int) -> bool:
        """Apply a peer's changes up to ``revision``; return whether none is missing."""
        if revision <= self.revision:
            return True
        if not self._has_upstreams or window.base_revision > self.revision:
            return False
        changes = [c for c in window.changes if c.revision > self.revision]
        before = self._upstream_states()
        for change in changes:
            self._apply_change(change)
        self.directory.confirm(revision, self._now_ms())
        self._changes.record(changes, self._now_ms())
        if changes:
            self._log_changes(before)
        return True

    def recent_changes(self, duration_ms: float, n_max: int) -> ChangeWindow:
        """Return the changes that were learnt within ``duration_ms``, for peers."""
        return self._changes.window(self._now_ms() - duration_ms, n_max)

    def _apply_change(self, change: UpstreamChange) -> None:
        changed = [] if change.upstream is None else [change.upstream]
        removed = [change.upstream_id] if change.upstream is None else []
        now_ms = self._now_ms()
        self.directory.apply(changed, removed, change.revision, now_ms)

    def _publish_listed_weights(self, upstreams: Iterable[Upstream]) -> None:
        """Tell peers which known upstreams have newer weights in these entries."""
        for upstream in upstreams:
            known = self.directory.get(upstream.upstream_id)
            if known is None or known.incarnation != upstream.incarnation:
                continue
            for model, version in upstream.weights_versions.items():
                if version > (self.weights.loaded(known, model) or 0):
                    self.on_peer_loaded(upstream.incarnation, model, version)
                    self._notify_loaded(upstream.incarnation, model, version)

    def expire(self) -> None:
        """Drop upstreams that are still missing some time after the store came back."""
        if self.store_contact.check():
            self.directory.on_store_lost()
        if not self.directory.has_missing:
            return
        before = self._upstream_states()
        self.directory.expire(self._now_ms())
        self._log_changes(before)

    def retain_live(self) -> set[Incarnation]:
        """Drop the loads of removed upstreams; return the live incarnations."""
        incarnations = {upstream.incarnation for upstream in self.directory.all()}
        self.directory.retain_notices(self._now_ms())
        stores = self.table.configuration.prompt_stores if self.table else ()
        self.loads.retain(incarnations | {prompt_store_incarnation(s) for s in stores})
        return incarnations

    def on_store_failed(self, reason: str) -> None:
        """Record that a call to the store failed.

        The known upstreams are kept once the store counts as lost. A single call that
        fails is no outage: an entry that is removed then has not lapsed.
        """
        self.store_contact.on_call_failed(reason)
        if self.store_contact.is_lost:
            self.directory.on_store_lost()

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
        self._notify_part_cached = on_part_cached
        self._notify_loaded = on_loaded
        self._notify_leaving = on_leaving
        self._publish_now = on_urgent

    def publish_now(self) -> None:
        """Send a digest to peers without waiting for the next period."""
        self._publish_now()

    def on_loading(
        self, upstream: Upstream, model: str, version: int, duration_ms: float
    ) -> None:
        """Record that this instance makes an engine load weights."""
        until_ms = self._now_ms() + duration_ms
        loading = Loading(model, version, until_ms, is_from_group=True)
        self._set_loading(upstream.incarnation, loading)
        self._publish_now()

    def loading(self) -> dict[Incarnation, Loading]:
        """Return the engines that are known to be loading weights."""
        now_ms = self._now_ms()
        self._loading = {
            incarnation: loading
            for incarnation, loading in self._loading.items()
            if loading.until_ms > now_ms
        }
        return self._loading

    def on_loaded(self, upstream: Upstream, model: str, version: int) -> None:
        """Record the weights version that this instance observed at an engine."""
        self._loading.pop(upstream.incarnation, None)
        self.on_peer_loaded(upstream.incarnation, model, version)
        self._notify_loaded(upstream.incarnation, model, version)
        self._publish_now()

    def on_part_cached(
        self, incarnation: Incarnation, key: PartKey, n_tokens: int, ready_in_ms: float
    ) -> None:
        """Record a shared part that an own request put into a cache."""
        self._record_part(incarnation, key, n_tokens, ready_in_ms)
        if n_tokens >= MIN_SHARED_TOKENS:
            self._notify_part_cached(incarnation, key, n_tokens, ready_in_ms)

    def on_notice(self, upstream: Upstream, notice: Notice) -> None:
        """Record what an upstream says of itself in an answer to this instance."""
        notices, incarnation = self.directory.notices, upstream.incarnation
        if notice.is_leaving and self._on_leaving(incarnation, "answer"):
            self._notify_leaving(incarnation)
            self._publish_now()
        if not notice.asks_for_quiet:
            return
        quiet_ms = granted_quiet_ms(notice)
        if notices.on_quiet(incarnation, quiet_ms, self._now_ms()):
            self._telemetry.log(
                events.QUIET_ASKED,
                upstream_id=upstream.upstream_id,
                service=upstream.service,
                asked_ms=notice.quiet_ms,
                quiet_ms=quiet_ms,
            )

    def on_peer_leaving(self, incarnation: Incarnation, peer: str) -> None:
        """Record that an upstream said to a peer that it leaves."""
        self._on_leaving(incarnation, peer)

    def _on_leaving(self, incarnation: Incarnation, source: str) -> bool:
        is_new = self.directory.notices.on_leaving(incarnation, self._now_ms())
        if is_new:
            upstream_id, _ = incarnation
            self._telemetry.log(
                events.UPSTREAM_LEAVING, upstream_id=upstream_id, source=source
            )
        return is_new

    def on_peer_loading(self, incarnation: Incarnation, loading: Loading) -> None:
        """Record a weights load that a peer reports, unless it is done already."""
        upstream = self.directory.get(incarnation[0])
        if upstream is None:
            return
        if (self.weights.loaded(upstream, loading.model) or 0) >= loading.version:
            return
        known = self._loading.get(incarnation)
        if known and loading.until_ms < known.until_ms + LOADING_SLACK_MS:
            return
        self._set_loading(incarnation, loading)

    def on_peer_loaded(
        self, incarnation: Incarnation, model: str, version: int
    ) -> bool:
        """Record the weights version at an engine; return whether it is new."""
        if not self.weights.on_loaded(incarnation, model, version):
            return False
        self._loading.pop(incarnation, None)
        load = self.loads.of(incarnation)
        load.loading_until_ms = 0.0
        load.parts.clear()
        return True

    def on_peer_part_cached(
        self, incarnation: Incarnation, key: PartKey, n_tokens: int, ready_in_ms: float
    ) -> None:
        """Record a shared part that a peer's request put into a cache."""
        self._record_part(incarnation, key, n_tokens, ready_in_ms)

    def wanted_ages(self) -> dict[str, tuple[int, int]]:
        """Return each model's wanted version and for how many ms it has been wanted."""
        now_ms = self._now_ms()
        return {
            name: (wanted.version, int(now_ms - wanted.known_at_ms))
            for name, wanted in self.weights.models().items()
        }

    def older_wanted_ages(self) -> dict[str, list[tuple[int, int]]]:
        """Return earlier wanted versions and ages, for models that have any.

        A peer that started after a version was replaced doesn't know since when it had
        been wanted, which an engine with older weights is judged by.
        """
        now_ms = self._now_ms()
        ages = {
            model: [
                (wanted.version, int(now_ms - wanted.known_at_ms))
                for wanted in self.weights.wanted_before(model, now_ms)
            ]
            for model in self.weights.models()
        }
        return {model: versions for model, versions in ages.items() if versions}

    def on_wanted_record(self, model: str, ages_ms: list[tuple[int, int]]) -> None:
        """Record since when versions are wanted, as the store told at the start.

        Versions that operators haven't named are ignored.
        """
        newest = self.weights.wanted(model)
        for version, age_ms in ages_ms:
            if newest is None or version > newest.version:
                continue
            self.weights.on_wanted(model, version, self._now_ms() - age_ms)
            self._telemetry.log(
                events.WEIGHTS_WANTED,
                model=model,
                version=version,
                source="record",
                age_ms=age_ms,
            )
        self._publish_now()

    def on_wanted_ages(
        self,
        newest: dict[str, tuple[int, int]],
        older: dict[str, list[tuple[int, int]]],
        source: str,
    ) -> None:
        """Record the wanted versions and ages that a peer knows."""
        for model, (version, age_ms) in newest.items():
            self.on_weights(model, version, source, age_ms)
        for model, versions in older.items():
            for version, age_ms in versions:
                self.on_weights(model, version, source, age_ms)

    def wanted_versions(self) -> dict[str, int]:
        """Return the wanted version of each model's weights."""
        return {name: w.version for name, w in self.weights.models().items()}

    def rollout_inputs(self) -> RolloutInputs:
        """Return the inputs for planning the rollout of weights."""
        wanted = self.wanted_versions()
        now_ms = self._now_ms()
        engines: dict[str, list[RolloutEngine]] = {model: [] for model in wanted}
        for upstream in self.directory.all():
            for model in upstream.weights_versions.keys() & wanted.keys():
                if upstream.is_draining:
                    continue
                version = self.weights.loaded(upstream, model) or 0
                usable_for_ms = self.weights.usable_for_ms(upstream, model, now_ms)
                utilization = self._utilization(upstream, now_ms)
                engines[model].append(
                    RolloutEngine(upstream, version, utilization, usable_for_ms)
                )
        since = {
            model: [*self.weights.wanted_before(model, now_ms), newest]
            for model, newest in self.weights.models().items()
        }
        return RolloutInputs(wanted, engines, since)

    def _utilization(self, upstream: Upstream, now_ms: float) -> float:
        """Return the larger of the used shares of slots and of KV memory."""
        total = self.loads.total(upstream.incarnation, now_ms)
        services = self.table.configuration.services if self.table else {}
        service = services.get(upstream.service)
        utilization = total.n_requests / max(1, upstream.n_slots)
        if service is None or service.engine is None:
            return utilization
        capacity = service.engine.kv_capacity_tokens
        return max(utilization, total.n_memory_tokens / max(1, capacity))

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream that a peer lists can be used; log why not.

        Peers of an older build forward odd entries of the store.
        """
        reason = oddity(upstream)
        if reason:
            self.log_undecodable(upstream.upstream_id, reason)
        return not reason

    def _set_loading(self, incarnation: Incarnation, loading: Loading) -> None:
        self._loading[incarnation] = loading
        self.loads.of(incarnation).loading_until_ms = loading.until_ms

    def _index_incarnations(self) -> None:
        stores = self.table.configuration.prompt_stores if self.table else ()
        self.incarnations.rebuild(self.directory.all(), stores)

    def _record_part(
        self, incarnation: Incarnation, key: PartKey, n_tokens: int, ready_in_ms: float
    ) -> None:
        limit = self._cache_limit(incarnation)
        ready_at_ms = self._now_ms() + ready_in_ms
        self.loads.of(incarnation).parts.use(key, n_tokens, ready_at_ms, limit)

    def _cache_limit(self, incarnation: Incarnation) -> int:
        """Return how many tokens of shared parts an engine or store can cache."""
        if self.table is None:
            return 0
        configuration = self.table.configuration
        for store in configuration.prompt_stores:
            if prompt_store_incarnation(store) == incarnation:
                return int(store.capacity_tokens * CACHE_SHARE)
        upstream = self.directory.get(incarnation[0])
        service = upstream and configuration.services.get(upstream.service)
        if not service or service.engine is None:
            return 0
        return int(service.engine.kv_capacity_tokens * CACHE_SHARE)

    def _upstream_states(self) -> dict[Incarnation, tuple[str, str]]:
        return {
            upstream.incarnation: (
                upstream.service,
                "draining" if upstream.is_draining else "ready",
            )
            for upstream in self.directory.all()
        }

    def _log_changes(self, before: dict[Incarnation, tuple[str, str]]) -> None:
        after = self._upstream_states()
        self._index_incarnations()
        for incarnation in before.keys() | after.keys():
            if before.get(incarnation) == after.get(incarnation):
                continue
            service, state = after.get(incarnation) or (before[incarnation][0], "gone")
            self._telemetry.log(
                events.UPSTREAM_CHANGED,
                upstream_id=incarnation[0],
                service=service,
                state=state,
                revision=self.directory.revision,
            )
