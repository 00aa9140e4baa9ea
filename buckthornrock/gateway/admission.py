"""Decides whether the configuration allows a request and what it demands.

Does no I/O; the random choice of a service uses the generator that is passed in.
"""

import random
from typing import NamedTuple

from expression import Error, Ok, Result

from ..catalog.configuration import ClientAccount, Route
from ..catalog.route_table import RouteTable
from ..scheduling.choice import Demand
from ..scheduling.prompt import parse_prompt
from .requests import AdmittedRequest, ClientRequest, Refusal


class AdmissionInputs(NamedTuple):
    """Inputs of admission; ``table`` is None until a configuration is known."""

    table: RouteTable | None
    rng: random.Random


def admit(
    request: ClientRequest, inputs: AdmissionInputs
) -> Result[AdmittedRequest, Refusal]:
    """Return the request with its route, client account and demand, or a refusal."""
    found = _match(request, inputs.table)
    if found.is_error():
        return Error(found.error)
    route, account = found.ok
    return _demand(request, route, account, inputs).map(
        lambda demand: _admitted(request, route, account, demand)
    )


def refuse_at_head(request: ClientRequest, table: RouteTable | None) -> Refusal | None:
    """Return the refusal of a request whose head shows that it isn't allowed."""
    found = _match(request, table)
    return found.error if found.is_error() else None


def _match(
    request: ClientRequest, table: RouteTable | None
) -> Result[tuple[Route, ClientAccount | None], Refusal]:
    if table is None:
        return Error(
            Refusal(503, "no-configuration", "no configuration is known yet", 500.0)
        )
    path = request.target.decode("latin-1").partition("?")[0]
    matched = table.match(request.fields.host, path)
    if matched.is_error():
        return Error(Refusal(404, matched.error.code, "no route matches this path"))
    account = table.authenticate(matched.ok, request.fields.authorization)
    if account.is_error():
        return Error(Refusal(401, account.error.code, "the API key is not known"))
    return Ok((matched.ok, account.ok))


def _demand(
    request: ClientRequest,
    route: Route,
    account: ClientAccount | None,
    inputs: AdmissionInputs,
) -> Result[Demand, Refusal]:
    configuration = inputs.table.configuration
    name = _pick_service(route, inputs.rng)
    service = configuration.services.get(name)
    if service is None:
        return Error(
            Refusal(503, "no-service", "the route's service does not exist", 500.0)
        )
    prompt = None
    if service.engine is not None and request.fields.model:
        parsed = parse_prompt(
            request.fields.model,
            request.fields.token_counts,
            request.fields.prompt_parts,
        )
        if parsed.is_error():
            return Error(Refusal(400, parsed.error.code, parsed.error.reason))
        prompt = parsed.ok
    rank = route.rank
    if account is not None and account.rank is not None:
        rank = account.rank
    scope = inputs.table.cache_scope(account)
    return Ok(Demand(request.fields.request_id, route, rank, service, scope, prompt))


def _pick_service(route: Route, rng: random.Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]


def _admitted(
    request: ClientRequest, route: Route, account: ClientAccount | None, demand: Demand
) -> AdmittedRequest:
    limit_ms = route.timeout_ms
    if request.fields.deadline_ms is not None:
        limit_ms = min(request.fields.deadline_ms, limit_ms)
    ends_at_ms = request.received_at_ms + limit_ms
    return AdmittedRequest(request, route, account, demand, ends_at_ms)
