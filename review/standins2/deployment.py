"""The deployments of the cases: the figures of Shared Hanger Return, on loopback."""

import asyncio
import json
import resource
import signal
import time
from pathlib import Path
from typing import NamedTuple

from tests.platform.store_server import StoreServer

from .engine import Engine
from .machine import Machine, free_ports, network

HOST = "members.example"
MODEL = "m"
KEY = "key-of-a-member"
N_ENGINES = 6
N_MACHINES = 2
#: The deploy file fixes it.
METRICS_PORT = 9_464
#: An entry is removed after three heartbeats of silence (1.2 s each).
LAPSES_AFTER_S = 3.6
BACK_AFTER_S = 5.0
MAX_HEADER_BYTES = 16_384
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "downgradeMs": 250,
    "outerMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 52,
    "recoverS": 12,
    "transitMs": 120,
    "reuseWindowS": 10,
    "leaseMs": 3000,
    "thawMs": 300,
    "versionMs": 20000,
    "versionAllMs": 28000,
}


class Site(NamedTuple):
    """What differs between the sites of the cases."""

    memory_mb: int
    n_slots: int
    kv_tokens: int
    limit_ms: int
    bounds: dict


SMALL = Site(150, 128, 175_043, 12_000, BOUNDS)
GROWN = Site(
    128,
    16,
    151_533,
    10_000,
    BOUNDS
    | {
        "stableMs": 4000,
        "ackMs": 6000,
        "catchUpS": 6,
        "drainMs": 3000,
        "configMs": 3000,
        "outerMs": 6000,
        "retrySlack": 172,
        "recoverS": 15,
        "transitMs": 200,
    },
)


def _route(name: str, priority: int, slo_ms: int, timeout_ms: int, **changes) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": "streaming",
        "timeoutMs": timeout_ms,
        "sloMs": slo_ms,
        "priority": priority,
        "service": "jezyk",
        "attempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gapSloMs": 400,
        **changes,
    }


def configuration(site: Site, prompt_store: str) -> dict:
    """Return what the operator writes."""
    engine = {
        "slots": site.n_slots,
        "kvCapacity": site.kv_tokens,
        "kvBytes": 35_136,
        "linkMbps": 550_000.0,
        "models": [{"name": MODEL}],
    }
    return {
        "version": 1,
        "routes": [
            _route("lot-assess", 2, 2000, site.limit_ms),
            _route("note-class", 0, 500, 6_000),
        ],
        "services": [
            {
                "name": "jezyk",
                "healthPath": "/healthz",
                "maxConns": 610,
                "proto": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "pamiec",
                "kvStoreAddr": prompt_store,
                "zone": "a",
                "kvCapacity": 2_679_216,
                "linkMbps": 81_000.0,
            },
        ],
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "depot", "apiKeys": [KEY], "isolated": False}],
    }


class Record:
    """Writes record.txt, a line for each thing that was seen."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w")  # noqa: SIM115 - open for the whole run
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class Deployment:
    """Store, engines and machines of one run."""

    def __init__(
        self, folder: Path, record: Record, site: Site, crash_part: str = "", hangs_s: float = 0.0
    ) -> None:
        self.crash_part, self.hangs_s = crash_part, hangs_s
        self.crashes_s: list[float] = []
        self._tasks: set[asyncio.Task] = set()
        self.folder, self.record, self.site = folder, record, site
        self.store = StoreServer()
        # A machine that is killed breaks its calls off; that is worth no traceback.
        self.store.server.handle_error = lambda *_: None
        self.engines: list[Engine] = []
        self.machines: list[Machine] = []

    async def start(self) -> bool:
        """Start everything; return whether all machines got ready."""
        # An early end stops what was started, too.
        end = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, end)
        # Crowds need more than the usual 1,024 descriptors.
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
        for n in range(N_ENGINES):
            await self._start_engine(n, 1)
        self.store.write(f"op/version/{MODEL}", b'{"model":"%s","version":1}' % MODEL.encode())
        document = configuration(self.site, f"{network()}.3:17300")
        self.store.write("op/config", json.dumps(document).encode())
        ips = [f"{network()}.{10 + n}" for n in range(N_MACHINES)]
        peer_port = free_ports(ips, METRICS_PORT)
        if peer_port is None:
            return False
        for n, ip in enumerate(ips):
            machine = Machine(
                f"edge-{n}",
                ip,
                self.folder,
                self.store.address,
                self.site.bounds,
                self.site.memory_mb,
                self.record.note,
            )
            machine.peer_port = peer_port
            machine.write_settings(ips)
            machine.start()
            self.machines.append(machine)
        return all([await machine.wait_ready() for machine in self.machines])

    async def _start_engine(self, n: int, n_start: int) -> None:
        """Start an engine, which comes back some seconds after a crash under a new id."""
        name = f"engine-{n}-{n_start}"
        engine = Engine(
            name, MODEL, self.site.n_slots, self.record.note, self.crash_part, self.hangs_s
        )
        await engine.start(f"{network()}.{20 + n}")
        self.engines.append(engine)
        entry = json.dumps(engine.entry("jezyk", "a")).encode()
        self.store.write(f"servers/{name}", entry)

        async def come_back() -> None:
            await asyncio.sleep(LAPSES_AFTER_S)
            self.store.delete(f"servers/{name}")
            await asyncio.sleep(BACK_AFTER_S - LAPSES_AFTER_S)
            await self._start_engine(n, n_start + 1)

        def on_crash() -> None:
            self.crashes_s.append(time.monotonic())
            self._tasks.add(asyncio.ensure_future(come_back()))

        engine.on_crash = on_crash

    def stop(self) -> None:
        for machine in self.machines:
            machine.stop()
        self.store.close()
        self.record.close()

    def breaks_fault(self) -> bool:
        """Whether the rule Fault is broken: two machines or more with three ends each.

        A tenth of two machines is less than one, so that the rule's "two at least" decides.
        """
        n_ends = [len(m.ends) + len(m.own_ends) for m in self.machines]
        return sum(n >= 3 for n in n_ends) >= 2
