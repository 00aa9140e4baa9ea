"""Simulation of instances that order engines, with one clock and injected faults.

Drives the real :class:`EngineController` against :class:`EngineOrders` without
sockets. A late order is one whose sender has timed out; it still reaches the engine
within the order timeout.
"""

import math
import random

from expression import Error, Ok

from buckthornrock.conf.settings import UpstreamSettings
from buckthornrock.fleet.controller_state import ControllerParts, LeasePort
from buckthornrock.fleet.engine_controller import EngineController
from buckthornrock.fleet.leadership import LeadershipRules
from buckthornrock.fleet.placement_document import wanted_for
from buckthornrock.fleet.placement_store import PlacementStore
from buckthornrock.fleet.reconciler import EngineSummary
from buckthornrock.standins.engine import Served
from buckthornrock.standins.engine_orders import EngineOrders, LoadGate
from buckthornrock.telemetry import Telemetry, open_log, open_metrics
from buckthornrock.upstreams.errors import AttemptFailed
from buckthornrock.upstreams.order_client import OrderOutdated
from tests.idempotency.fakes import FakeKv

TTL_MS = 10_000.0
RULES = LeadershipRules(
    lease_ttl_ms=TTL_MS, order_timeout_ms=1_000.0, load_time_ms=4_000.0
)
N_SLOTS = 2
MIN_SERVING_SHARE = 0.75
STEP_PERIOD_MS = 500.0
STEP_KINDS = (
    "step",
    "renew",
    "wait",
    "pause",
    "resume",
    "crash",
    "engine",
    "roll",
    "step_before_expiry",
)
SEND_FAULTS = ("", "", "", "lost", "late", "refused")


class Lease:
    """One instance's lease by its own clock, and its expiry at the service."""

    def __init__(self, model):
        self.model = model
        self.lease_id = 0
        self.epoch = 0
        self.expires_at_ms = 0.0

    def renew(self):
        """Renew the lease, or grant a new one if it has expired."""
        if self.lease_id and self.model.now_ms < self.expires_at_ms:
            self._extend()
            return
        self.model.n_leases += 1
        self.lease_id = self.model.n_leases
        self.epoch += 1
        self._extend()

    def _extend(self):
        self.expires_at_ms = self.model.now_ms + TTL_MS
        # The service keeps a lease until it expires, also when its holder crashed.
        self.model.lease_ends_ms[self.lease_id] = self.expires_at_ms

    def port(self):
        return LeasePort(
            lease_id=lambda: self.lease_id,
            epoch=lambda: self.epoch,
            holds=lambda now_ms, margin_ms: (
                self.lease_id != 0 and now_ms + margin_ms < self.expires_at_ms
            ),
        )


class Client:
    """Sends orders to the engines; the model injects lost and late ones."""

    def __init__(self, model):
        self.model = model

    def read(self, upstream_id, address):
        if upstream_id in self.model.dead:
            return Error(AttemptFailed(upstream_id, "dead", "unknown"))
        return Ok(self.model.engines[upstream_id].state(self.model.now_ms))

    def send(self, upstream_id, address, order):
        fault, self.model.send_fault = self.model.send_fault, ""
        if fault == "refused" or upstream_id in self.model.dead:
            return Error(AttemptFailed(upstream_id, "refused", "true"))
        if fault == "late":
            due_ms = self.model.now_ms + 0.9 * RULES.order_timeout_ms
            self.model.late.append((due_ms, upstream_id, order))
            return Error(AttemptFailed(upstream_id, "timeout", "unknown"))
        refusal = self.model.deliver(upstream_id, order)
        if fault == "lost":
            return Error(AttemptFailed(upstream_id, "timeout", "unknown"))
        if refusal is not None:
            return Error(OrderOutdated(upstream_id, refusal.highest_fencing))
        return Ok(None)


class ControllerModel:
    """Several instances, and engines in two failure domains.

    ``problems`` collects the violated invariants.
    """

    def __init__(self, checks_fencing, n_engines=4, n_instances=3):
        self.now_ms = 0.0
        self.kv = FakeKv()
        self.n_leases = 0
        self.checks_fencing = checks_fencing
        self.gate = LoadGate(N_SLOTS)
        self.settings = [
            UpstreamSettings(f"e{n}", "engine", "", f"fd-{n % 2}", ("small",))._replace(
                checks_fencing=checks_fencing
            )
            for n in range(n_engines)
        ]
        self.engines = {
            s.id: EngineOrders(
                self.gate, Served((), ""), checks_fencing, lambda: self.now_ms
            )
            for s in self.settings
        }
        self.dead = set()
        self.late = []
        self.send_fault = ""
        self.between = None
        self.has_crashed_engine = False
        self.lease_ends_ms = {}
        self.latest = {}
        self.problems = []
        self.placements = PlacementStore(self.kv.port())
        self.n_versions = 0
        self.paused = set()
        self.alive = [f"i{n}" for n in range(n_instances)]
        self.leases = {}
        self.controllers = {}
        for name in self.alive:
            self.start(name)
        self.place()

    def start(self, name):
        """Start a run of an instance."""
        lease = Lease(self)
        lease.renew()
        self.leases[name] = lease
        parts = ControllerParts(
            instance_id=name,
            kv=self.kv.port()._replace(get_prefix=self.read_prefix),
            lease=lease.port(),
            client=Client(self),
            placements=self.placements,
            live_ids=self.live_ids,
            summaries=self.summaries,
            telemetry=Telemetry(open_log(None), open_metrics("", 0, "")),
            now_ms=lambda: self.now_ms,
            sleep_ms=self.wait,
            rng=random.Random(name),
        )
        self.controllers[name] = EngineController(self.settings, RULES, N_SLOTS, parts)

    def live_ids(self):
        """Return the live instances; a paused one does not count as live."""
        return tuple(n for n in self.alive if n not in self.paused) or ("i0",)

    def read_prefix(self, prefix):
        """Read, and let another instance step, if asked, before the reader goes on."""
        found = Ok([e for k, e in sorted(self.kv.entries.items()) if prefix in k])
        other, self.between = self.between, None
        if other is not None and other not in self.paused:
            self.controllers[other].step()
        return found

    def place(self):
        """Place a new weights version on all engines."""
        self.n_versions += 1
        wanted = {
            "model": "small",
            "weights_version": f"w{self.n_versions}",
            "adapters": ["a"],
            "role": "decode",
        }
        placement = {
            "min_serving_share": MIN_SERVING_SHARE,
            "failure_domains": {"*": wanted},
            "upstreams": {},
        }
        version = self.placements.current().version
        self.placements.apply(placement, version)

    def summaries(self, placement):
        """Return the state of the engines as their load reports give it."""
        return [self._summary(placement, s) for s in self.settings]

    def _summary(self, placement, settings):
        wanted = wanted_for(placement, settings.id, settings.failure_domain)
        served = self.engines[settings.id].served(self.now_ms)
        is_serving = settings.id not in self.dead and "small" in served.models
        return EngineSummary(
            settings.id,
            settings.failure_domain,
            wanted,
            is_serving,
            served.weights_version,
        )

    def step(self, index, fault="", between=None):
        """Run one controller step of an instance.

        ``fault`` applies to the order it sends; ``between`` is an instance that steps
        while this one reads the load slots.
        """
        name = self.alive[index % len(self.alive)]
        if name in self.paused:
            return
        self.send_fault = fault
        if between is not None:
            other = self.alive[between % len(self.alive)]
            self.between = other if other != name else None
        self.controllers[name].step()
        self.send_fault = ""
        self.between = None
        self._check()

    def step_before_expiry(self, index, fault):
        """Run a step just before an instance's lease expires, then pause it."""
        name = self.alive[index % len(self.alive)]
        left_ms = self.leases[name].expires_at_ms - self.now_ms
        self.wait(max(0.0, left_ms - 200.0))
        self.step(index, fault)
        self.pause(index)
        self.wait(300.0)
        for other in range(len(self.alive)):
            self.renew(other)
            self.step(other)

    def renew(self, index):
        """Let one instance renew its lease."""
        name = self.alive[index % len(self.alive)]
        if name not in self.paused:
            self.leases[name].renew()

    def pause(self, index):
        """Pause an instance between two steps until it is resumed."""
        self.paused.add(self.alive[index % len(self.alive)])

    def resume(self):
        """Resume every paused instance; none notices that time has passed."""
        self.paused.clear()

    def crash(self, index):
        """Restart an instance; the lease of its earlier run stays until it expires."""
        name = self.alive[index % len(self.alive)]
        self.paused.discard(name)
        self.start(name)

    def crash_engine(self, index):
        """Restart an engine without weights."""
        settings = self.settings[index % len(self.settings)]
        self.engines[settings.id].restart(self.now_ms)
        if self.checks_fencing:
            # The engine forgets the highest number that it has seen.
            self.latest.pop(settings.id, None)
        self.has_crashed_engine = True

    def wait(self, duration_ms):
        """Advance the clock in small steps: leases expire and late orders arrive."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += min(100.0, end_ms - self.now_ms)
            arrived = [late for late in self.late if late[0] <= self.now_ms]
            self.late = [late for late in self.late if late[0] > self.now_ms]
            for _, upstream_id, order in arrived:
                if upstream_id not in self.dead:
                    self.deliver(upstream_id, order)
            self._lapse()
            self._check()

    def _lapse(self):
        for lease_id, end_ms in list(self.lease_ends_ms.items()):
            if self.now_ms >= end_ms:
                self.kv.revoke(lease_id)
                del self.lease_ends_ms[lease_id]

    def deliver(self, upstream_id, order):
        """Deliver an order to its engine; return the refusal, if any."""
        refusal = self.engines[upstream_id].take(order, self.now_ms)
        if refusal is not None:
            return refusal
        if order.fencing < self.latest.get(upstream_id, 0):
            self.problems.append(f"order of an earlier leader at {upstream_id}")
        self.latest[upstream_id] = max(order.fencing, self.latest.get(upstream_id, 0))
        return None

    def _check(self):
        if self.gate.n_most > N_SLOTS:
            self.problems.append(f"{self.gate.n_most} engines loaded at once")
        if self.has_crashed_engine or self.n_versions < 2:
            return
        n_serving = sum(s.is_serving for s in self.summaries(self._placement()))
        if self.was_serving and n_serving < math.ceil(
            MIN_SERVING_SHARE * len(self.settings)
        ):
            self.problems.append(f"only {n_serving} engines serve")

    def _placement(self):
        return self.placements.current().placement

    @property
    def was_serving(self):
        """Return whether all engines were serving before the last change."""
        return getattr(self, "_was_serving", False)

    def roll(self):
        """Place new weights; capacity is checked only if all engines serve now."""
        self._was_serving = all(s.is_serving for s in self.summaries(self._placement()))
        self.place()

    def settle(self, duration_ms):
        """Run without faults until all engines are as placed or the time is over."""
        self.resume()
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms and not self.is_settled():
            for index in range(len(self.alive)):
                self.renew(index)
                self.step(index)
            self.wait(STEP_PERIOD_MS)

    def is_settled(self):
        """Return whether every engine is in its desired state."""
        for settings in self.settings:
            state = self.engines[settings.id].state(self.now_ms)
            version = f"w{self.n_versions}"
            if state.loading or state.weights_version != version:
                return False
            if state.adapters != ("a",) or state.role != "decode":
                return False
        return True

    def step_at_random(self, rng):
        """Run one step of a kind drawn from ``rng``."""
        index = rng.randrange(6)
        kind = rng.choices(
            STEP_KINDS,
            (8, 4, 5, 0.5, 0.7, 0.4, 0.3, 0.4, 0.4),
        )[0]
        if kind == "step":
            between = rng.randrange(3) if rng.random() < 0.3 else None
            self.step(index, rng.choice(SEND_FAULTS), between)
        elif kind == "step_before_expiry":
            self.step_before_expiry(index, rng.choice(SEND_FAULTS))
        elif kind == "renew":
            self.renew(index)
        elif kind == "wait":
            self.wait(rng.choice((100.0, 500.0, 2_000.0, 11_000.0)))
        elif kind == "pause":
            self.pause(index)
        elif kind == "resume":
            self.resume()
        elif kind == "crash":
            self.crash(index)
        elif kind == "engine":
            self.crash_engine(index)
        else:
            self.roll()
