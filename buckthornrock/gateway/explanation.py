"""Explains where a request would go if it arrived now.

The explanation uses the functions that decide on real requests, on copies of the state
that they change. It reserves, counts and publishes nothing, and takes every service of
a route in place of a random one.
"""

import math
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

import msgspec
from expression import Error, Ok, Result

from ..catalog.configuration import Route
from ..catalog.upstreams import Upstream
from ..scheduling.placement import Obstacle, Placement
from .account_quotas import AccountQuotas
from .admission import NO_CONFIGURATION, UNKNOWN_KEY, admit_to, find_route
from .crash_watch import crash_parts
from .dispatcher import Dispatcher, ExpectedWait, Preview
from .explanation_document import (
    QUERY_FIELDS,
    WHERE_PATH,
    Ages,
    Blocker,
    Explanation,
    Option,
    QuarantinedPart,
    ServiceExplanation,
    Terms,
)
from .fleet_state import FleetState
from .ports import RequestFields
from .requests import AdmittedRequest, ClientRequest, Refusal, quarantine_refusal
from .stopping import NOT_SENT, Stopping

#: Bounds of a query. The work of an explanation grows with the parts of the prompt.
MAX_QUERY_BYTES = 8_192
MAX_PARTS = 64
#: Most quarantined parts of the document.
MAX_QUARANTINED_SHOWN = 64
#: What an explanation doesn't cover.
NOT_COVERED = (
    "requests and deferred jobs at the product's own interface, which has other "
    "queues, limits and choices of an engine",
    "what other instances decide at the same time, and what their next digests tell",
    "refusals by the upstream, retries, and the size and pace of the transfer",
)
DRAINING, LEAVING, QUIET = "draining", "leaving", "asked for quiet"


class ExplanationInputs(NamedTuple):
    """The state that explanations are made from."""

    instance_id: str
    fleet_state: FleetState
    dispatcher: Dispatcher
    stopping: Stopping
    n_instances: Callable[[], int]
    now_ms: Callable[[], float]
    quotas: AccountQuotas | None = None


def _find_stopping(
    admitted: AdmittedRequest, inputs: ExplanationInputs
) -> list[Refusal]:
    is_refused = inputs.stopping.must_refuse(admitted.ends_at_ms, inputs.now_ms())
    return [NOT_SENT] if is_refused else []


def _find_quarantined(
    admitted: AdmittedRequest, inputs: ExplanationInputs
) -> list[Refusal]:
    parts = crash_parts(admitted.demand.prompt)
    found = inputs.fleet_state.crash_findings.peek_quarantined(parts)
    return [] if found is None else [quarantine_refusal(found)]


def _find_over_quota(
    admitted: AdmittedRequest, inputs: ExplanationInputs
) -> list[Refusal]:
    refusal = inputs.quotas.check(admitted) if inputs.quotas else None
    return [] if refusal is None else [refusal]


#: What may refuse a request before it is placed. Each function returns the refusals
#: that the request would get now and charges nothing.
BLOCKER_FINDERS: tuple[
    Callable[[AdmittedRequest, ExplanationInputs], list[Refusal]], ...
] = (_find_over_quota, _find_stopping, _find_quarantined)


def is_where_request(request: ClientRequest) -> bool:
    """Return whether a request at the metrics listener asks for an explanation."""
    return request.target.partition(b"?")[0] == WHERE_PATH.encode()


def explain_encoded(
    request: ClientRequest, inputs: ExplanationInputs
) -> Result[bytes, Refusal]:
    """Return the explanation that a request asks for as JSON, or a refusal."""
    if request.method != b"GET":
        return Error(Refusal(400, "bad-query", "only GET is supported"))
    query = request.target.partition(b"?")[2]
    return _parse(query, inputs.now_ms()).map(
        lambda parsed: msgspec.json.encode(explain(*parsed, inputs))
    )


def explain(
    request: ClientRequest, account_name: str, inputs: ExplanationInputs
) -> Explanation:
    """Return where a request of an account would go now."""
    table = inputs.fleet_state.configuration.table
    if table is None:
        return _explanation(inputs, None, [NO_CONFIGURATION], [])
    found = find_route(request, table)
    if found.is_error():
        return _explanation(inputs, None, [found.error], [])
    route = found.ok
    account = table.authenticate_as(route, account_name)
    if account.is_error():
        return _explanation(inputs, route, [UNKNOWN_KEY], [])
    total = sum(share.weight for share in route.shares)
    services, admitted_requests = [], []
    for share in route.shares:
        admitted = admit_to(request, route, account.ok, share.service, table)
        weight = share.weight / total if total > 0.0 else 0.0
        if admitted.is_error():
            services.append(_refused(share.service, weight, admitted.error))
            continue
        admitted_requests.append(admitted.ok)
        services.append(_explain_service(admitted.ok, weight, inputs))
    return _explanation(inputs, route, [], services, tuple(admitted_requests))


def _parse(query: bytes, now_ms: float) -> Result[tuple[ClientRequest, str], Refusal]:
    """Return the request that a query describes, and the name of its account."""
    if len(query) > MAX_QUERY_BYTES:
        return Error(_bad_query(f"the query is longer than {MAX_QUERY_BYTES} bytes"))
    try:
        pairs = parse_qsl(
            query.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(query),
            encoding="latin-1",
            max_num_fields=len(QUERY_FIELDS),
        )
    except ValueError:
        return Error(_bad_query("the query can't be read"))
    values = dict(pairs)
    if len(values) < len(pairs) or not values.keys() <= QUERY_FIELDS.keys():
        return Error(_bad_query(f"the query's fields are {', '.join(QUERY_FIELDS)}"))
    if values.get("parts", "").count(",") >= MAX_PARTS:
        return Error(_bad_query(f"the prompt has more than {MAX_PARTS} parts"))
    deadline_ms = _number(values.get("deadline_ms"))
    if deadline_ms is not None and not math.isfinite(deadline_ms):
        return Error(_bad_query("deadline_ms is not a number"))
    fields = RequestFields(
        request_id="",
        host=values.get("host", ""),
        authorization="",
        deadline_ms=deadline_ms,
        model=values.get("model", ""),
        token_counts=values.get("tokens", ""),
        prompt_parts=values.get("parts", ""),
        last_event_id="",
    )
    target = values.get("path", "/").encode("latin-1")
    request = ClientRequest(b"GET", target, [], b"", fields, now_ms)
    return Ok((request, values.get("account", "")))


def _number(text: str | None) -> float | None:
    """Return the number that a text holds, NaN if it holds none."""
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return math.nan


def _bad_query(reason: str) -> Refusal:
    return Refusal(400, "bad-query", reason)


def _explanation(
    inputs: ExplanationInputs,
    route: Route | None,
    refusals: list[Refusal],
    services: list[ServiceExplanation],
    admitted_requests: tuple[AdmittedRequest, ...] = (),
) -> Explanation:
    fleet_state = inputs.fleet_state
    named = {}
    for admitted in admitted_requests:
        named |= crash_parts(admitted.demand.prompt)
    quarantined = fleet_state.crash_findings.quarantined()[:MAX_QUARANTINED_SHOWN]
    return Explanation(
        instance_id=inputs.instance_id,
        configuration_version=fleet_state.configuration.version,
        n_instances=inputs.n_instances(),
        ages=Ages(
            fleet_state.store_age_ms(),
            round(fleet_state.loads.digests_age_ms(inputs.now_ms()), 1),
        ),
        route=route.name if route else "",
        blockers=[_blocker(refusal) for refusal in refusals],
        services=services,
        quarantined_parts=[
            QuarantinedPart(
                found.part,
                named[found.part].part_id if found.part in named else "",
                round(found.retry_after_ms, 1),
            )
            for found in quarantined
        ],
        not_covered=list(NOT_COVERED),
    )


def _explain_service(
    admitted: AdmittedRequest, share: float, inputs: ExplanationInputs
) -> ServiceExplanation:
    refusals = [
        refusal for find in BLOCKER_FINDERS for refusal in find(admitted, inputs)
    ]
    demand = admitted.demand
    ends_at_ms = inputs.stopping.capped(admitted.ends_at_ms)
    preview = inputs.dispatcher.preview(demand, ends_at_ms)
    decision = preview.decision
    placement = decision if isinstance(decision, Placement) else None
    outcome, reason, wait_ms = _outcome(preview)
    if refusals:
        outcome, reason = "refused", refusals[0].reason
    return ServiceExplanation(
        service=demand.service.name,
        share=round(share, 4),
        outcome=outcome,
        reason=reason,
        blockers=[_blocker(refusal) for refusal in refusals],
        upstream_id=placement.upstream.upstream_id if placement else "",
        expected_ms=_expected_ms(placement),
        wait_ms=_finite(wait_ms),
        n_waiting=preview.n_waiting,
        options=_options(admitted, preview, placement, inputs),
    )


def _outcome(preview: Preview) -> tuple[str, str, float]:
    """Return the outcome, its reason and the expected wait."""
    decision = preview.decision
    if isinstance(decision, Placement):
        return "placed", "", 0.0
    if isinstance(decision, ExpectedWait):
        return "queued", "", decision.wait_ms
    return "refused", decision.reason, decision.queue_snapshot.wait_ms


def _expected_ms(placement: Placement | None) -> float | None:
    """Return the time until the first response, without mere preferences."""
    if placement is None or placement.weights_version is None:
        return None
    terms = placement.terms
    return round(terms.queue_ms + terms.distance_ms + terms.prefill_ms, 1)


def _options(
    admitted: AdmittedRequest,
    preview: Preview,
    placement: Placement | None,
    inputs: ExplanationInputs,
) -> list[Option]:
    service = admitted.demand.service.name
    found = {upstream.upstream_id: option for upstream, option in preview.options}
    listed = [u for u in inputs.fleet_state.directory.all() if u.service == service]
    shown = [
        _option(admitted, upstream, found.get(upstream.upstream_id), preview, inputs)
        for upstream in listed
    ]
    if placement is not None:
        chosen = placement.upstream.upstream_id
        shown = [
            msgspec.structs.replace(option, is_chosen=option.upstream_id == chosen)
            for option in shown
        ]
    return sorted(shown, key=_by_cost)


def _by_cost(option: Option) -> tuple[bool, float, str]:
    estimate_ms = math.inf if option.estimate_ms is None else option.estimate_ms
    return not option.is_chosen, estimate_ms, option.upstream_id


def _option(
    admitted: AdmittedRequest,
    upstream: Upstream,
    option: Placement | Obstacle | None,
    preview: Preview,
    inputs: ExplanationInputs,
) -> Option:
    """Return what an explanation shows of an upstream.

    ``option`` is None for one that requests may not be sent to at all.
    """
    view, prompt = preview.view, admitted.demand.prompt
    placement = option if isinstance(option, Placement) else None
    load = view.loads.of(upstream.incarnation)
    total = view.loads.total(upstream.incarnation, view.now_ms)
    obstacle, returns_in_ms = _obstacle(upstream, option, preview, inputs)
    report_age_ms = view.now_ms - load.report.at_ms if load.report else None
    return Option(
        upstream_id=upstream.upstream_id,
        failure_domain=upstream.failure_domain,
        is_chosen=False,
        obstacle=obstacle,
        returns_in_ms=_finite(returns_in_ms),
        estimate_ms=round(placement.estimate_ms, 1) if placement else None,
        terms=_terms(placement) if placement else None,
        n_cached_tokens=placement.n_cached_tokens if placement else 0,
        kv_source=placement.kv_source if placement else "",
        n_requests=total.n_requests,
        n_slots=upstream.n_slots,
        queued_prefill_ms=round(total.prefill_ms, 1),
        n_memory_tokens=total.n_memory_tokens,
        weights_version=prompt and view.weights.loaded(upstream, prompt.model),
        report_age_ms=_finite(report_age_ms),
    )


def _obstacle(
    upstream: Upstream,
    option: Placement | Obstacle | None,
    preview: Preview,
    inputs: ExplanationInputs,
) -> tuple[str, float | None]:
    """Return why an upstream is out, "" if it isn't, and the time until that ends."""
    now_ms = preview.view.now_ms
    if isinstance(option, Placement):
        return "", None
    if option is None:
        notices = inputs.fleet_state.directory.notices
        if upstream.is_draining:
            return DRAINING, None
        if notices.is_leaving(upstream.incarnation):
            return LEAVING, None
        return QUIET, notices.time_to_return_ms([upstream.incarnation], now_ms)
    load = preview.view.loads.of(upstream.incarnation)
    if option is Obstacle.BLOCKED:
        return option.value, load.blocked_until_ms - now_ms
    if option is Obstacle.LOADING:
        return option.value, load.loading_until_ms - now_ms
    return option.value, None


def _terms(placement: Placement) -> Terms:
    return Terms(*(round(term, 1) for term in placement.terms))


def _refused(service: str, share: float, refusal: Refusal) -> ServiceExplanation:
    return ServiceExplanation(
        service=service,
        share=round(share, 4),
        outcome="refused",
        reason=refusal.reason,
        blockers=[_blocker(refusal)],
        upstream_id="",
        expected_ms=None,
        wait_ms=None,
        n_waiting=0,
        options=[],
    )


def _blocker(refusal: Refusal) -> Blocker:
    return Blocker(
        refusal.code, refusal.status, refusal.reason, _finite(refusal.retry_after_ms)
    )


def _finite(figure: float | None) -> float | None:
    """Return a figure rounded, None for one that JSON can't hold."""
    if figure is None or not math.isfinite(figure):
        return None
    return round(figure, 1)
