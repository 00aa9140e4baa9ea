"""Discrete simulation of admission: the pure model queues before the pure engine cores.

``python -m benchmarks.admission_simulation --seeds 1,2,3`` runs each flood with each
variant of admission in simulated time, so the figures do not depend on the machine.
Simulated are the gates of seven instances and the engines' batches and caches; not
simulated are threads, sockets and the real choice of an engine: a request goes to the
engine with the least missing and waiting prompt tokens, which is known exactly.
"""

import heapq
import itertools
import random
from typing import NamedTuple

import click

from buckthornrock.admission import AdmissionQuery
from buckthornrock.admission.cost import CostModel
from buckthornrock.admission.model_queues import ModelQueueConfig, ModelQueues
from buckthornrock.admission.policy import ModelCapacity, WorkPolicy
from buckthornrock.admission.request import AdmissionRequest
from buckthornrock.admission.window import CONTROLLERS, Window
from buckthornrock.conf.settings import AdmissionSettings
from buckthornrock.load.arrivals import Arrival, plan_arrivals
from buckthornrock.load.spec import Flood, LoadSpec
from buckthornrock.standins.engine_core import EngineCore, Sequence
from buckthornrock.standins.engine_parameters import (
    TOKEN_BYTES,
    EngineParameters,
    block_hashes,
)

from .deployments import DEPLOYMENTS, N_INSTANCES, Deployment
from .experiments import DEFERRABLE, FLOOD_AT_MS, FLOOD_FOR_MS, URGENT

TICK_MS = 50.0
DURATION_MS = 30_000.0
FLOOD_LASTS_MS = 4 * FLOOD_FOR_MS
DEADLINE_MS = {True: 60_000.0, False: 10_000.0}
SETTINGS = AdmissionSettings()


class Variant(NamedTuple):
    """One way to admit; ``controller`` is empty for no admission at all."""

    controller: str
    floor: float = 0.1
    headroom: float = SETTINGS.urgent_headroom


VARIANTS: dict[str, Variant] = {
    "unlimited": Variant(""),
    "fixed window": Variant("fixed"),
    "gradient": Variant("gradient"),
    "no floor": Variant("aimd", floor=0.0),
    "no headroom": Variant("aimd", headroom=0.0),
    "queues": Variant("aimd"),
}
COLUMNS = (
    "flood",
    "variant",
    "seed",
    "urgent p50 / p99 ms",
    "urgent on time",
    "urgent on time a second in the flood",
    "deferrable work in the flood",
    "on time small / large",
    "refused",
)


class _Request:
    """One request on its way through the simulation."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.admission_request: AdmissionRequest | None = None
        self.queues: ModelQueues | None = None
        self.sequence: Sequence | None = None
        self.sent_at_ms = 0.0
        self.ttft_ms: float | None = None
        self.engine_ttft_ms: float | None = None
        self.is_refused = False
        self.done_at_ms: float | None = None

    @property
    def is_on_time(self) -> bool:
        work_class = self.arrival.work_class
        if self.done_at_ms is None:
            return False
        total_ms = self.done_at_ms - self.arrival.at_ms
        taken_ms = total_ms if work_class.is_deferrable else self.ttft_ms
        return taken_ms <= work_class.on_time_ms


class Simulation:
    """Instances' model queues and engines' cores under one clock."""

    def __init__(self, deployment: Deployment, variant: Variant, seed: int) -> None:
        self._deployment = deployment
        self._variant = variant
        self._rng = random.Random(seed)
        parameters = EngineParameters(
            prefill_tokens_per_s=deployment.prefill_tokens_per_s,
            inter_token_ms=deployment.inter_token_ms,
            decode_growth_ms=0.5,
            max_batch=deployment.max_batch,
            n_cache_blocks=deployment.n_cache_blocks,
            max_step_tokens=512,
            seed=seed,
        )
        self._engines = [EngineCore(parameters) for _ in range(deployment.n_engines)]
        self._instance_queues = [self._make_queues() for _ in range(N_INSTANCES)]
        self._by_stream: dict[str, _Request] = {}
        self._by_admission_request: dict[int, _Request] = {}
        self._serials = itertools.count()
        self.requests: list[_Request] = []

    def run(self, arrivals: list[Arrival]) -> None:
        """Play all arrivals, and go on until everything has ended."""
        events = [(arrival.at_ms, next(self._serials), arrival) for arrival in arrivals]
        end_ms = DURATION_MS + DEADLINE_MS[True]
        n_ticks = int(end_ms / TICK_MS)
        events += [(i * TICK_MS, next(self._serials), None) for i in range(n_ticks)]
        heapq.heapify(events)
        while events:
            now_ms, _, arrival = heapq.heappop(events)
            self._advance_engines(now_ms)
            if arrival is None:
                self._give_up_late(now_ms)
            else:
                self._arrive(arrival, now_ms)

    def _make_queues(self) -> ModelQueues:
        cost = CostModel(SETTINGS.output_token_cost)
        controller = CONTROLLERS[self._variant.controller or "fixed"]
        n_tokens = SETTINGS.window_tokens / N_INSTANCES
        target_ms = SETTINGS.target_delay_ms
        windows = [Window(controller(target_ms), n_tokens) for _ in range(2)]
        config = ModelQueueConfig(
            self._variant.headroom,
            SETTINGS.deferrable_wait_ms,
            SETTINGS.min_requests_per_engine,
        )
        queues = ModelQueues(config, cost, *windows)
        deployment = self._deployment
        rate = deployment.n_engines * deployment.prefill_tokens_per_s
        queues.set_capacity(ModelCapacity(deployment.n_engines, rate, N_INSTANCES))
        return queues

    def _arrive(self, arrival: Arrival, now_ms: float) -> None:
        request = _Request(arrival)
        self.requests.append(request)
        if not self._variant.controller:
            self._send(request, now_ms)
            return
        request.queues = self._rng.choice(self._instance_queues)
        query = _query(arrival)
        cost_tokens = request.queues._cost.estimate(query)
        request.admission_request = AdmissionRequest(
            query, self._policy(arrival), cost_tokens, now_ms
        )
        if request.queues.offer(request.admission_request, now_ms) is not None:
            request.is_refused = True
            return
        self._by_admission_request[id(request.admission_request)] = request
        self._dispatch(request.queues, now_ms)

    def _policy(self, arrival: Arrival) -> WorkPolicy:
        work_class = arrival.work_class
        return WorkPolicy(
            is_deferrable=work_class.is_deferrable,
            ttft_target_ms=work_class.on_time_ms,
            deferrable_floor=self._variant.floor,
            member_weight=1.0,
            requests_per_s=1e9,
            tokens_per_s=1e9,
        )

    def _dispatch(self, queues: ModelQueues, now_ms: float) -> None:
        for admission_request in queues.dispatch(now_ms):
            self._send(self._by_admission_request.pop(id(admission_request)), now_ms)

    def _send(self, request: _Request, now_ms: float) -> None:
        arrival = request.arrival
        salt = (arrival.client_account + arrival.member).encode().hex()[:32]
        hashes = block_hashes(arrival.prompt.text.encode(), salt)
        n_tokens = max(1, len(arrival.prompt.text.encode()) // TOKEN_BYTES)
        sequence = Sequence(
            f"s{next(self._serials)}",
            hashes,
            n_tokens,
            0,
            arrival.work_class.n_output_tokens,
            arrival.work_class.rank,
        )
        engine = min(self._engines, key=lambda e: self._expected_tokens(e, sequence))
        request.sequence, request.sent_at_ms = sequence, now_ms
        self._by_stream[sequence.stream_id] = request
        engine.submit(sequence, now_ms)

    def _expected_tokens(self, engine: EngineCore, sequence: Sequence) -> float:
        n_hit_tokens = engine.cache.n_hit_blocks(sequence.hashes) * 16
        n_missing = sequence.n_prompt_tokens - n_hit_tokens
        # A running sequence costs the batch about as much as some prompt tokens.
        n_sequences = len(engine.running) + engine.n_waiting
        return n_missing + engine.n_waiting_tokens + 30 * n_sequences

    def _advance_engines(self, now_ms: float) -> None:
        while True:
            times = [(e.next_event_ms(), i) for i, e in enumerate(self._engines)]
            due = [(at_ms, i) for at_ms, i in times if at_ms is not None]
            if not due or min(due)[0] > now_ms:
                return
            at_ms, index = min(due)
            for sequence in self._engines[index].advance(at_ms):
                self._progress(self._by_stream[sequence.stream_id], at_ms)

    def _progress(self, request: _Request, now_ms: float) -> None:
        if request.ttft_ms is None:
            request.ttft_ms = now_ms - request.arrival.at_ms
            request.engine_ttft_ms = now_ms - request.sent_at_ms
            if request.queues is not None:
                request.queues.note_first_token(
                    request.admission_request,
                    request.sequence.n_missed_tokens,
                    request.engine_ttft_ms,
                    now_ms,
                )
                self._dispatch(request.queues, now_ms)
        sequence = request.sequence
        if sequence.state != "done":
            return
        request.done_at_ms = now_ms
        del self._by_stream[sequence.stream_id]
        if request.queues is None:
            return
        request.queues.release(
            request.admission_request,
            sequence.n_missed_tokens,
            sequence.n_generated,
            True,
            now_ms,
        )
        self._dispatch(request.queues, now_ms)

    def _give_up_late(self, now_ms: float) -> None:
        for request in list(self._by_admission_request.values()):
            if request.admission_request.query.deadline_at_ms <= now_ms:
                del self._by_admission_request[id(request.admission_request)]
                request.queues.expire(request.admission_request, now_ms)
                request.is_refused = True


def _query(arrival: Arrival) -> AdmissionQuery:
    work_class = arrival.work_class
    return AdmissionQuery(
        request_id=str(arrival.serial),
        client_account=arrival.client_account,
        member=arrival.member,
        profile="default",
        work_class=work_class.name,
        rank=work_class.rank,
        weight=1.0,
        worth=1.0,
        model="small",
        n_prompt_tokens=len(arrival.prompt.text) // TOKEN_BYTES,
        n_output_tokens=work_class.n_output_tokens,
        deadline_at_ms=arrival.at_ms + DEADLINE_MS[work_class.is_deferrable],
        is_deferred=False,
    )


@click.command()
@click.option("--deployments", default=",".join(DEPLOYMENTS))
@click.option("--seeds", default="1", help="Comma-separated seeds.")
@click.option("--floods", default="none,deferrable,urgent")
@click.option("--variants", default=",".join(VARIANTS))
@click.option("--factor", default=5.0, help="Arrivals in the flood over usual ones.")
def main(
    deployments: str, seeds: str, floods: str, variants: str, factor: float
) -> None:
    """Run the simulations and print a table a deployment."""
    for name in deployments.split(","):
        click.echo(f"\n{name}\n\n| " + " | ".join(COLUMNS) + " |")
        click.echo("|" + "---|" * len(COLUMNS))
        for flood, variant, seed in itertools.product(
            floods.split(","), variants.split(","), map(int, seeds.split(","))
        ):
            simulation = Simulation(DEPLOYMENTS[name], VARIANTS[variant], seed)
            simulation.run(_arrivals(name, flood, seed, factor))
            cells = [flood, variant, str(seed), *_cells(simulation.requests)]
            click.echo("| " + " | ".join(cells) + " |")


def _arrivals(name: str, flood: str, seed: int, factor: float) -> list[Arrival]:
    classes = {"deferrable": DEFERRABLE, "urgent": URGENT}
    floods = ()
    if flood in classes:
        work_class = classes[flood][name]
        floods = (Flood(work_class, FLOOD_AT_MS, FLOOD_LASTS_MS, factor),)
    spec = LoadSpec(
        targets=("simulated",),
        mix=name,
        rate_per_s=DEPLOYMENTS[name].rate_per_s,
        duration_ms=DURATION_MS,
        keys={},
        seed=seed,
        floods=floods,
    )
    return list(plan_arrivals(spec))


def _cells(requests: list[_Request]) -> list[str]:
    urgent = [r for r in requests if not r.arrival.work_class.is_deferrable]
    ttfts = sorted(r.ttft_ms for r in urgent if r.ttft_ms is not None)
    in_flood = [r for r in requests if _is_in_flood(r.done_at_ms)]
    n_urgent = sum(not r.arrival.work_class.is_deferrable for r in in_flood)
    n_good = sum(
        r.is_on_time and not r.arrival.work_class.is_deferrable for r in in_flood
    )
    work = {True: 0.0, False: 0.0}
    for request in in_flood:
        work[request.arrival.work_class.is_deferrable] += _work(request)
    share = work[True] / max(1.0, sum(work.values()))
    sizes = [
        [r for r in urgent if r.arrival.client_account.startswith(size)]
        for size in ("small", "large")
    ]
    n_refused = sum(r.is_refused for r in requests)
    return [
        f"{_percentile(ttfts, 0.5):.0f} / {_percentile(ttfts, 0.99):.0f}",
        f"{_on_time(urgent):.3f}",
        f"{1000.0 * n_good / FLOOD_LASTS_MS:.1f} of "
        f"{1000.0 * n_urgent / FLOOD_LASTS_MS:.1f} answered",
        f"{share:.3f} of all",
        f"{_on_time(sizes[0]):.3f} / {_on_time(sizes[1]):.3f}",
        f"{n_refused} of {len(requests)}",
    ]


def _is_in_flood(at_ms: float | None) -> bool:
    return at_ms is not None and 0.0 <= at_ms - FLOOD_AT_MS < FLOOD_LASTS_MS


def _work(request: _Request) -> float:
    sequence = request.sequence
    cost = SETTINGS.output_token_cost
    return sequence.n_missed_tokens + cost * sequence.n_generated


def _on_time(requests: list[_Request]) -> float:
    return sum(r.is_on_time for r in requests) / max(1, len(requests))


def _percentile(values: list[float], part: float) -> float:
    return values[int(part * (len(values) - 1))] if values else 0.0


if __name__ == "__main__":
    main()
