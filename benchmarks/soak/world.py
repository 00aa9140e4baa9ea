"""The processes, stand-ins and proxies of one run."""

import asyncio
import os
import time
from collections.abc import Awaitable
from pathlib import Path

from . import deployment, schedule
from .engine_weights import OrderTrouble
from .instances import Instance
from .proxy import Proxy
from .record import Configured, Disturbed, Limit, Record, Wanted
from .store import SoakStore
from .upstreams import CRASH_BEFORE_EVENT, Shared, Upstream

PORT = 17_300
BACK_AFTER_CRASH_S = 2.0
#: Limit of the account with a quota.
FIRST_LIMIT = Limit(400.0, 2_000.0, True, 10.0)


def network() -> str:
    """Return three bytes of loopback addresses that differ between runs at once."""
    pid = os.getpid()
    return f"127.{2 + pid % 250}.{pid // 250 % 250}"


class Slot:
    """A place of an upstream, in which one incarnation follows another."""

    def __init__(self, name: str, service: str, model: str) -> None:
        self.name, self.service, self.model = name, service, model
        self.n_started = 0
        self.order_trouble = OrderTrouble()
        self.proxy: Proxy
        self.upstream: Upstream

    def set_orders(self, trouble: OrderTrouble) -> None:
        """Set what is wrong with the orders of this and the next incarnations."""
        self.order_trouble = self.upstream.weights.trouble = trouble


class World:
    """Everything that runs beside the clients."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        product: Path,
        has_quota: bool,
        requires_fencing: bool = True,
    ) -> None:
        self.record = record
        self.is_quiet = False
        self.store = SoakStore(record)
        self.shared = Shared(self.store, record, {}, requires_fencing)
        self.slots = [
            *(Slot(f"till{n}", "till", "") for n in range(schedule.N_PLAIN)),
            *(
                Slot(f"engine{n}", "tagger", deployment.MODEL)
                for n in range(schedule.N_ENGINES)
            ),
        ]
        self.instances: list[Instance] = []
        self.store_links: list[Proxy] = []
        limits = {deployment.LIMITED: FIRST_LIMIT} if has_quota else {}
        self.state = deployment.State(limits=limits)
        self.crash_mode = CRASH_BEFORE_EVENT
        self._weights_version = 0
        self._folder, self._has_quota = folder, has_quota
        self._product = product
        self._network = network()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> bool:
        """Start everything; return whether all instances got ready."""
        store_ip = f"{self._network}.2"
        self.prompt_store = f"{self._network}.3:{PORT}"
        self.shared.caches[self.prompt_store] = {}
        self.want_next_weights()
        for n, slot in enumerate(self.slots):
            slot.proxy = Proxy("")
            await slot.proxy.start(f"{self._network}.{20 + n}")
            await self.start_upstream(slot)
        self.configure()
        ips = [f"{self._network}.{10 + n}" for n in range(schedule.N_INSTANCES)]
        for n, ip in enumerate(ips):
            link = Proxy(self.store.address)
            await link.start(store_ip)
            self.store_links.append(link)
            own = deployment.addresses(ip, PORT)
            instance = Instance(
                f"edge-{n}", own, self._folder, self.record, self._product
            )
            instance.settings_path.write_text(
                deployment.settings_text(
                    instance.name, own, ips, link.address, self._has_quota
                )
            )
            self.instances.append(instance)
            instance.start()
            self.spawn(instance.watch())
        ready = await asyncio.gather(*(each.wait_ready() for each in self.instances))
        return all(ready)

    def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.stop()
        for slot in self.slots:
            slot.upstream.close()
        self.store.close()

    def configure(self, **changes: object) -> None:
        """Write the next version of the configuration."""
        state = self.state
        if changes or self.record.all_of(Configured):
            state = state._replace(version=state.version + 1, **changes)
        self.state = state
        document = deployment.configuration(state, self.prompt_store)
        at_s = self.store.write_json("op/config", document)
        self.record.note(
            Configured(at_s, state.version, state.isolated, dict(state.limits))
        )

    def want_next_weights(self) -> None:
        """Write the next wanted version of the weights."""
        self._weights_version += 1
        weights = {"model": deployment.MODEL, "version": self._weights_version}
        at_s = self.store.write_json(f"op/version/{deployment.MODEL}", weights)
        self.record.note(Wanted(at_s, self._weights_version))

    def spawn(self, work: Awaitable) -> None:
        """Run something until it ends or the run does."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start_upstream(self, slot: Slot) -> None:
        """Start the next incarnation of an upstream."""
        slot.n_started += 1
        upstream_id = f"{slot.name}-{slot.n_started}"
        # Every other engine comes back with the first version of its weights.
        version = self._weights_version if self.slots.index(slot) % 2 else 1
        upstream = Upstream(
            self.shared, slot.service, upstream_id, slot.proxy, slot.model, version
        )
        if upstream.weights is not None:
            upstream.weights.trouble = slot.order_trouble
        upstream.crash_mode = self.crash_mode
        upstream.on_crash = lambda: self.spawn(self.bring_back(slot))
        slot.upstream = upstream
        await upstream.start(slot.proxy.address.rpartition(":")[0])

    async def bring_back(self, slot: Slot, after_s: float = BACK_AFTER_CRASH_S) -> None:
        """Start the next incarnation some time after a crash."""
        start_s = time.monotonic()
        name = slot.upstream.upstream_id
        await asyncio.sleep(after_s)
        await self.start_upstream(slot)
        self.record.note(Disturbed(start_s, time.monotonic(), name, "crashed"))
