"""Decides whether the configuration allows a request and what it demands.

Does no I/O; the random choice of a service uses the generator that is passed in.
"""

import random
from typing import NamedTuple

from expression import Error, Ok, Result

from ..catalog.configuration import ClientAccount, Route
from ..catalog.route_table import RouteTable, UnknownKey
from ..scheduling.placement import Demand
from ..scheduling.prompt import parse_prompt
from .requests import AdmittedRequest, ClientRequest, Refusal

NO_CONFIGURATION = Refusal(
    503, "no-configuration", "no configuration is known yet", 500.0
)
UNKNOWN_KEY = Refusal(401, UnknownKey.code, "the API key is not known")


class AdmissionInputs(NamedTuple):
    """Inputs of admission; ``table`` is None until a configuration is known."""

    table: RouteTable | None
    rng: random.Random


def admit(
    request: ClientRequest, inputs: AdmissionInputs
) -> Result[AdmittedRequest, Refusal]:
    """Return the request with its route, client account and demand, or a refusal."""
    if inputs.table is None:
        return Error(NO_CONFIGURATION)
    found = _match(request, inputs.table)
    if found.is_error():
        return Error(found.error)
    route, account = found.ok
    service = _pick_service(route, inputs.rng)
    return admit_to(request, route, account, service, inputs.table)


def refuse_at_head(request: ClientRequest, table: RouteTable | None) -> Refusal | None:
    """Return the refusal of a request whose head shows that it isn't allowed."""
    if table is None:
        return NO_CONFIGURATION
    found = _match(request, table)
    return found.error if found.is_error() else None


def _match(
    request: ClientRequest, table: RouteTable
) -> Result[tuple[Route, ClientAccount | None], Refusal]:
    found = find_route(request, table)
    if found.is_error():
        return Error(found.error)
    account = table.authenticate(found.ok, request.fields.authorization)
    if account.is_error():
        return Error(UNKNOWN_KEY)
    return Ok((found.ok, account.ok))


def find_route(request: ClientRequest, table: RouteTable) -> Result[Route, Refusal]:
    """Return the route of a request, or a refusal without one."""
    path = request.target.decode("latin-1").partition("?")[0]
    matched = table.match(request.fields.host, path)
    return matched.map_error(
        lambda error: Refusal(404, error.code, "no route matches this path")
    )


def admit_to(
    request: ClientRequest,
    route: Route,
    account: ClientAccount | None,
    service: str,
    table: RouteTable,
) -> Result[AdmittedRequest, Refusal]:
    """Return the request with its demand on one of the route's services."""
    return _demand(request, route, account, service, table).map(
        lambda demand: _admitted(request, route, account, demand)
    )


def _demand(
    request: ClientRequest,
    route: Route,
    account: ClientAccount | None,
    service_name: str,
    table: RouteTable,
) -> Result[Demand, Refusal]:
    service = table.configuration.services.get(service_name)
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
    scope = table.cache_scope(account)
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
