"""What an instance knows of configuration, upstreams and weights, and how it learnt.

Everything here is used on the event loop's thread only.
"""

from collections.abc import Callable, Iterable

from ..catalog.configuration import ClientLimits, Configuration
from ..catalog.route_table import RouteTable
from ..catalog.upstreams import Upstream, UpstreamDirectory
from ..events import gateway as events
from ..rollout.plan import EngineView
from ..rollout.port import RolloutInputs
from ..scheduling.choice import View
from ..scheduling.loads import FleetLoads
from ..scheduling.weights import WeightsView
from ..telemetry import Telemetry


class Knowledge:
    """Configuration in force, upstream directory, wanted weights and loads.

    Attributes
    ----------
    table : RouteTable or None
        The configuration in force; its version only rises.
    directory : UpstreamDirectory
        Live upstreams.
    weights : WeightsView
        Versions wanted and loaded.
    loads : FleetLoads
        Work at the upstreams.
    """

    def __init__(
        self,
        failure_domain: str,
        weights: WeightsView,
        now_ms: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        self.table: RouteTable | None = None
        self.directory = UpstreamDirectory()
        self.weights = weights
        self.loads = FleetLoads()
        self._failure_domain = failure_domain
        self._now_ms = now_ms
        self._telemetry = telemetry
        self._lost_at_ms: dict[str, float] = {}
        self._knows_upstreams = False

    @property
    def is_complete(self) -> bool:
        """Whether requests can be served."""
        return self.table is not None and self._knows_upstreams

    def limits(self) -> ClientLimits:
        """Return the limits on clients."""
        return self.table.configuration.limits if self.table else ClientLimits()

    def view(self) -> View:
        """Return what the choice of an upstream is made from."""
        stores = self.table.configuration.prompt_stores if self.table else ()
        return View(
            self.loads, self.weights, stores, self._failure_domain, self._now_ms()
        )

    def on_configuration(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force unless a newer one is."""
        if self.table and configuration.version <= self.table.configuration.version:
            return
        self.table = RouteTable(configuration)
        self._telemetry.log(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            source=source,
            n_routes=len(configuration.routes),
        )

    def on_weights(self, model: str, version: int, source: str) -> None:
        """Take over a wanted version of a model's weights."""
        if self.weights.on_wanted(model, version, self._now_ms()):
            self._telemetry.log(
                events.WEIGHTS_WANTED, model=model, version=version, source=source
            )

    def replace_upstreams(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Take over a full reading of the upstreams."""
        before = self._states()
        self.directory.replace(upstreams, revision, self._now_ms())
        self._knows_upstreams = True
        self._log_changes(before)

    def change_upstreams(
        self, changed: Iterable[Upstream], removed: Iterable[str], revision: int
    ) -> None:
        """Take over changes of the upstreams."""
        before = self._states()
        self.directory.apply(changed, removed, revision, self._now_ms())
        self._log_changes(before)

    def expire(self) -> set[tuple[str, int]]:
        """Drop upstreams that stayed missing; return the incarnations that live."""
        before = self._states()
        self.directory.expire(self._now_ms())
        self._log_changes(before)
        incarnations = {upstream.incarnation for upstream in self.directory.all()}
        self.loads.retain(incarnations)
        return incarnations

    def on_store_heard(self, prefix: str) -> None:
        """Note that the store answers."""
        lost_at_ms = self._lost_at_ms.pop(prefix, None)
        if lost_at_ms is not None:
            outage_ms = round(self._now_ms() - lost_at_ms, 1)
            self._telemetry.log(events.STORE_BACK, prefix=prefix, outage_ms=outage_ms)

    def on_store_lost(self, prefix: str, reason: str) -> None:
        """Note that the store does not answer; upstreams are kept."""
        self.directory.on_store_lost()
        if prefix not in self._lost_at_ms:
            self._lost_at_ms[prefix] = self._now_ms()
            self._telemetry.log(events.STORE_LOST, prefix=prefix, reason=reason)

    def on_loading(self, upstream: Upstream, duration_ms: float) -> None:
        """Give an engine that loads weights no new work for a while."""
        load = self.loads.of(upstream.incarnation)
        load.loading_until_ms = self._now_ms() + duration_ms

    def on_loaded(self, upstream: Upstream, model: str, version: int) -> None:
        """Note the weights that an engine has; it takes work again."""
        load = self.loads.of(upstream.incarnation)
        load.loading_until_ms = 0.0
        if self.weights.on_loaded(upstream.incarnation, model, version):
            load.forget_parts()

    def rollout_inputs(self) -> RolloutInputs:
        """Return what the rollout of weights is planned from."""
        wanted = {name: w.version for name, w in self.weights.models().items()}
        now_ms = self._now_ms()
        engines: dict[str, list[EngineView]] = {model: [] for model in wanted}
        for upstream in self.directory.all():
            for model in upstream.weights_versions.keys() & wanted.keys():
                if upstream.is_draining:
                    continue
                total = self.loads.total(upstream.incarnation, now_ms)
                version = self.weights.loaded(upstream, model) or 0
                engines[model].append(EngineView(upstream, version, total.n_requests))
        return RolloutInputs(wanted, engines)

    def log_undecodable(self, what: str, reason: str) -> None:
        """Note a value that can't be read."""
        self._telemetry.log(events.UNDECODABLE, what=what, reason=reason)

    def _states(self) -> dict[tuple[str, int], tuple[str, str]]:
        return {
            upstream.incarnation: (
                upstream.service,
                "draining" if upstream.is_draining else "ready",
            )
            for upstream in self.directory.all()
        }

    def _log_changes(self, before: dict[tuple[str, int], tuple[str, str]]) -> None:
        after = self._states()
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
