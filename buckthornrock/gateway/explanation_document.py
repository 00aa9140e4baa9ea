"""The document that explains where a request would go now, and its query."""

from typing import Annotated

import msgspec

#: Path of the document at the metrics listener.
WHERE_PATH = "/where"
#: Fields of the query string, with their meanings.
QUERY_FIELDS = {
    "host": "host of the request",
    "path": "path of the request",
    "account": "name of the client account (never a key); absent: without a key",
    "model": "model of the prompt; absent: a request without a prompt",
    "tokens": "tokens of the prompt and of the longest response, `PROMPT,OUTPUT`",
    "parts": "parts of the prompt, as `ID:TOKENS,...`; the last one is not shared",
    "deadline_ms": "time within which the client wants the response",
}


def _field(kind: type, meaning: str) -> type:
    return Annotated[kind, msgspec.Meta(description=meaning)]


class Ages(msgspec.Struct, frozen=True):
    """How old the inputs of the decision are."""

    store_ms: _field(
        float | None, "since the store last confirmed the state; null: never"
    )
    digests_ms: _field(float, "of the oldest peer data in use; 0 without any")


class Blocker(msgspec.Struct, frozen=True):
    """A limit, quota or quarantine that refuses the request before placement."""

    code: _field(str, "code of the refusal")
    status: _field(int, "status of the refusal")
    reason: _field(str, "reason of the refusal")
    retry_after_ms: _field(float | None, "Retry-After of the refusal; null: none")


class Terms(msgspec.Struct, frozen=True):
    """Terms of an estimate, in milliseconds; their sum is the estimate."""

    queue_ms: _field(float, "work that is already there")
    failures_ms: _field(float, "cost of recent failures")
    distance_ms: _field(float, "cost of another failure domain")
    long_prompts_ms: _field(float, "cost of engines that are used for long prompts")
    prefill_ms: _field(float, "time to fetch and prefill the prompt")
    no_affinity_ms: _field(float, "cost of an engine not preferred for its parts")
    outdated_weights_ms: _field(float, "cost of outdated weights")
    late_ms: _field(float, "cost of an estimate beyond the objective")


class Option(msgspec.Struct, frozen=True):
    """An upstream of the service."""

    upstream_id: _field(str, "id of the upstream")
    failure_domain: _field(str, "its failure domain")
    is_chosen: _field(bool, "whether the request would go there")
    obstacle: _field(str, "why it is out; empty if it isn't")
    returns_in_ms: _field(float | None, "time until the obstacle is over, where known")
    estimate_ms: _field(float | None, "sum of the terms; null if it is out")
    terms: _field(Terms | None, "terms of the estimate; null if it is out")
    n_cached_tokens: _field(int, "tokens of the prompt that are cached there")
    kv_source: _field(str, "address from which further parts would be fetched")
    n_requests: _field(int, "its known requests, of all instances")
    n_slots: _field(int, "its slots")
    queued_prefill_ms: _field(float, "its queued prefill")
    n_memory_tokens: _field(int, "tokens that its requests hold in memory")
    weights_version: _field(int | None, "loaded version of the model's weights")
    report_age_ms: _field(float | None, "age of its last load report; null: none")


class ServiceExplanation(msgspec.Struct, frozen=True):
    """What would happen to the request at one service of its route."""

    service: _field(str, "name of the service")
    share: _field(float, "share of the route's requests that go to this service")
    outcome: _field(str, "`placed`, `queued` or `refused`")
    reason: _field(str, "why the request would be refused")
    blockers: _field(list[Blocker], "what refuses the request before placement")
    upstream_id: _field(str, "chosen upstream; with blockers, once these are gone")
    expected_ms: _field(
        float | None,
        "expected time there until the first response; null for plain services, whose "
        "estimates only order the upstreams",
    )
    wait_ms: _field(float | None, "expected time in the queue; null: unlimited")
    n_waiting: _field(int, "requests that wait for this service at the instance")
    options: _field(list[Option], "all upstreams of the service, the cheapest first")


class QuarantinedPart(msgspec.Struct, frozen=True):
    """A part of prompts that crashes engines."""

    part: _field(int, "number of the part in the log")
    part_id: _field(str, "its id if the request has it, empty otherwise")
    probe_in_ms: _field(float, "time until a request may probe it")


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go if it arrived at an instance now."""

    instance_id: _field(str, "the instance that decided")
    configuration_version: _field(int, "version of the configuration in force")
    n_instances: _field(int, "known instances, this one included")
    ages: _field(Ages, "how old the inputs are")
    route: _field(str, "name of the route; empty without one")
    blockers: _field(list[Blocker], "what refuses the request before its service")
    services: _field(
        list[ServiceExplanation], "the services of the route, one for each share"
    )
    quarantined_parts: _field(list[QuarantinedPart], "all quarantined parts")
    not_covered: _field(list[str], "what this answer says nothing of")
