"""Instances of the deferred service on a fake platform, driven step by step."""

import math
import random
import sys
from pathlib import Path

from expression import Error, Ok

sys.path.insert(0, str(Path(__file__).parent))
from fake_platform import Connection, FakeKv, FakeLease, KilledError  # noqa: E402

from buckthornrock.deferred.claims import LeasePort  # noqa: E402
from buckthornrock.deferred.context import DeferredConfig, DeferredContext  # noqa: E402
from buckthornrock.deferred.ids import open_job_ids  # noqa: E402
from buckthornrock.deferred.port import JobSubmission  # noqa: E402
from buckthornrock.deferred.service import DeferredService  # noqa: E402
from buckthornrock.runtime import Clock  # noqa: E402
from buckthornrock.telemetry import Telemetry, open_log, open_metrics  # noqa: E402

HOUR_MS = 3_600_000
RULES = DeferredConfig(
    max_held_jobs=20,
    max_unsaved_bytes=1_000_000,
    max_waiting_submitters=10,
    submit_timeout_ms=2_000,
    retention_ms=24 * HOUR_MS,
    fleet_writes_per_s=math.inf,
)
IDS = open_job_ids("a secret of the fleet")
TELEMETRY = Telemetry(open_log(None), open_metrics("", 0, ""))


def submission(text="x", account="a", member="m", key="", deadline_ms=HOUR_MS, **body):
    return JobSubmission(
        client_account=account,
        member=member,
        profile="p",
        work_class="notes",
        body={"model": "small", "prompt": text, **body},
        kind="completion",
        deadline_wall_ms=int(deadline_ms),
        idempotency_key=key,
    )


def expected_answer(job):
    return {"text": f"{job.client_account}/{job.member}: {job.body['prompt'][-40:]}"}


class Instance:
    """One run of an instance."""

    def __init__(self, fleet, name, rules=RULES):
        self.fleet, self.name = fleet, name
        self.pendings = []
        self.connection = Connection(fleet.kv)
        port = self.connection.port()
        self.lease = FakeLease(fleet.kv, port, name)
        lease = LeasePort(
            self.lease.holds,
            lambda: self.lease.id,
            lambda: self.lease.count,
            self.lease.guard,
        )
        clock = Clock(
            lambda: fleet.kv.now_ms,
            lambda: int(fleet.kv.now_ms),
            lambda ms: fleet.kv.advance(ms),
        )
        parts = DeferredContext(
            kv=port,
            lease=lease,
            ids=IDS,
            run_job=self.run_job,
            clock=clock,
            telemetry=TELEMETRY,
            rng=random.Random(7),
            holder=f"{name}/{fleet.n_started}",
            self_id=name,
            live_ids=lambda: tuple(sorted(fleet.instances)),
        )
        self.service = DeferredService(parts, rules)

    def run_job(self, job_id, job, control):
        self.fleet.runs.append((self.name, job_id))
        if self.fleet.failures:
            return Error(self.fleet.failures.pop(0))
        if self.fleet.during_run:
            self.fleet.during_run.pop(0)(self)
        return Ok(expected_answer(job))


def replace_run(service, run_job):
    """Let an instance's jobs run by another function from now on."""
    runner = service._runner
    runner._parts = runner._parts._replace(run_job=run_job)


class Fleet:
    """Instances, what they were asked, and what they promised."""

    def __init__(self, n_instances=2, rules=RULES):
        self.kv = FakeKv()
        self.rules = rules
        self.instances = {}
        self.n_started = 0
        self.runs, self.failures, self.during_run = [], [], []
        self.pendings = []
        for index in range(n_instances):
            self.start(f"i{index}")

    def start(self, name):
        self.n_started += 1
        self.instances[name] = Instance(self, name, self.rules)
        return self.instances[name]

    def submit(self, name, job):
        instance = self.instances[name]
        pending = instance.service.enqueue(job)
        if pending.is_ok():
            self.pendings.append((job, pending.ok))
            instance.pendings.append(pending.ok)
        return pending

    def accepted(self):
        """Return the accepted jobs by id."""
        return {
            pending.result.ok: job
            for job, pending in self.pendings
            if pending.result is not None and pending.result.is_ok()
        }

    def step(self, name, step):
        """Take one step; an instance that is killed in it is gone."""
        instance = self.instances[name]
        actions = {
            "lease": instance.lease.step,
            "commit": instance.service.commit_step,
            "scan": instance.service.scan_step,
            "run": instance.service.run_next,
            "collect": instance.service.collect_step,
        }
        try:
            actions[step]()
        except KilledError:
            del self.instances[name]

    def settle(self, n_rounds=30, step_ms=2_500.0):
        """Let time pass without further faults."""
        self.kv.is_down = False
        self.kv.faults.clear()
        if not self.instances:
            self.start(f"i{self.n_started}")
        for _ in range(n_rounds):
            self.kv.advance(step_ms)
            for name in tuple(self.instances):
                for step in ("lease", "scan", "run", "run", "run", "commit"):
                    self.step(name, step)
