"""Builders of queries, requests and queues for the admission tests."""

from buckthornrock.admission import AdmissionQuery
from buckthornrock.admission.cost import CostModel
from buckthornrock.admission.model_queues import ModelQueueConfig, ModelQueues
from buckthornrock.admission.policy import ModelCapacity, WorkPolicy
from buckthornrock.admission.request import AdmissionRequest
from buckthornrock.admission.window import Window, fixed

HOUR_MS = 3_600_000.0


def make_query(**changes):
    query = AdmissionQuery(
        request_id="r",
        client_account="a",
        member="m",
        profile="p",
        work_class="c",
        rank=0,
        weight=1.0,
        worth=1.0,
        model="small",
        n_prompt_tokens=100,
        n_output_tokens=0,
        deadline_at_ms=HOUR_MS,
        is_deferred=False,
    )
    return query._replace(**changes)


def make_policy(**changes):
    policy = WorkPolicy(
        is_deferrable=False,
        ttft_target_ms=1_000.0,
        deferrable_floor=0.0,
        member_weight=1.0,
        requests_per_s=1e9,
        tokens_per_s=1e9,
    )
    return policy._replace(**changes)


def make_request(cost_tokens=100.0, now_ms=0.0, policy=None, **changes):
    policy = policy or make_policy()
    return AdmissionRequest(make_query(**changes), policy, cost_tokens, now_ms)


def make_queues(window_tokens=1_000.0, headroom=0.0, wait_ms=HOUR_MS, min_requests=0.0):
    windows = [Window(fixed(0.0), window_tokens) for _ in range(2)]
    queues = ModelQueues(
        ModelQueueConfig(headroom, wait_ms, min_requests), CostModel(1.0), *windows
    )
    queues.set_capacity(ModelCapacity(1, 1_000.0))
    return queues


def release(queues, request, now_ms, ttft_ms=None):
    if ttft_ms is not None:
        queues.note_first_token(request, int(request.cost_tokens), ttft_ms, now_ms)
    queues.release(request, int(request.cost_tokens), 0, ttft_ms is not None, now_ms)
