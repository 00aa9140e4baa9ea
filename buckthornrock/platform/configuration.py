"""Decodes the configuration that operators write to the platform's store."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..admission.quota_limits import MAX_COST, AccountLimit
from ..catalog.configuration import (
    ClientAccount,
    ClientLimits,
    Configuration,
    EngineSpec,
    PromptStore,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from ..runtime.addresses import is_connectable
from ..runtime.decoding import Count, ExactInt, decode_json
from .errors import Undecodable

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
#: The unit of an account's limit that counts tokens; all others count requests.
_TOKEN_UNIT = "token_meter"

#: Transfer rates above this, which also excludes infinity, count as absent.
MAX_LINK_MBPS = 1e9
_NO_FIGURE = msgspec.Raw(b"0")


class _Share(msgspec.Struct, rename="camel"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    slo_ms: float = 0.0
    priority: ExactInt = 0
    service: str = ""
    split: list[_Share] = []
    attempts: ExactInt = 1
    public: bool = False
    resumable: bool = False
    gap_slo_ms: float = 0.0


class _Engine(msgspec.Struct, rename="camel"):
    slots: ExactInt
    kv_capacity: ExactInt
    kv_bytes: ExactInt
    link_mbps: float


class _Service(msgspec.Struct, rename="camel", omit_defaults=True):
    name: str
    max_conns: ExactInt = 0
    engine: _Engine | None = None
    #: Set only if the service is a prompt store, which stores KV cache of prompts.
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity: ExactInt = 0
    #: Link of a prompt store. It is decoded by itself, so that an odd value is left out
    #: and doesn't reject the configuration.
    link_mbps: msgspec.Raw = _NO_FIGURE


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: ExactInt
    max_body_bytes: ExactInt
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct, rename="camel", omit_defaults=True):
    name: str
    api_keys: list[str] = []
    priority: ExactInt | None = None
    isolated: bool = False
    #: Odd values of these fields count as absent: a configuration that was accepted
    #: before the router knew them must not be rejected.
    rate_per_s: Any = None
    burst: Any = None
    unit: Any = None
    plain_tokens: Any = None


class _Document(msgspec.Struct, rename="camel"):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


def decode_configuration(value: bytes) -> Result[Configuration, Undecodable]:
    """Decode one version of the configuration.

    A prompt store at an address that can't be used is left out, so that it costs
    nothing but its cache.
    """
    decoded = decode_json(value, _Document)
    if decoded.is_error():
        return Error(Undecodable("configuration", decoded.error.reason))
    document = decoded.ok
    services = [entry for entry in document.services if not entry.kv_store_addr]
    stores = [
        entry for entry in document.services if is_connectable(entry.kv_store_addr)
    ]
    return Ok(
        Configuration(
            version=document.version,
            routes=tuple(_route(route) for route in document.routes),
            services={service.name: _service(service) for service in services},
            prompt_stores=tuple(_prompt_store(store) for store in stores),
            accounts=_accounts(document.tenants or []),
            requires_keys=document.tenants is not None,
            limits=_limits(document.limits),
            isolated_accounts=_isolated_accounts(document.tenants or []),
        )
    )


def _route(route: _Route) -> Route:
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        # An unknown kind is treated as the one that is retried least.
        kind=_ROUTE_KINDS.get(route.route_kind, RouteKind.NON_IDEMPOTENT),
        shares=shares or (ServiceShare(route.service, 1.0),),
        timeout_ms=route.timeout_ms,
        objective_ms=route.slo_ms or route.timeout_ms,
        rank=route.priority,
        n_attempts=max(1, route.attempts),
        is_public=route.public,
        is_resumable=route.resumable,
        max_pause_ms=route.gap_slo_ms,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    spec = engine and EngineSpec(
        n_slots=engine.slots,
        kv_capacity_tokens=engine.kv_capacity,
        kv_bytes_per_token=engine.kv_bytes,
        link_mbps=engine.link_mbps,
    )
    return Service(service.name, service.max_conns, spec)


def _prompt_store(store: _Service) -> PromptStore:
    return PromptStore(
        store.name,
        store.kv_store_addr,
        store.zone,
        store.kv_capacity,
        _link_mbps(store.link_mbps),
    )


def _link_mbps(value: msgspec.Raw) -> float:
    """Return a positive rate; 0 for any other value, which counts as absent."""
    decoded = decode_json(bytes(value), float)
    if decoded.is_error() or not 0.0 < decoded.ok <= MAX_LINK_MBPS:
        return 0.0
    return decoded.ok


def _accounts(tenants: list[_Tenant]) -> dict[str, ClientAccount]:
    return {
        key: ClientAccount(tenant.name, tenant.priority, _limit(tenant))
        for tenant in tenants
        for key in tenant.api_keys
    }


def _limit(tenant: _Tenant) -> AccountLimit | None:
    """Return an account's limit, None without a rate above 0."""
    rate_per_s = _quantity(tenant.rate_per_s)
    if not rate_per_s:
        return None
    return AccountLimit(
        rate_per_s=rate_per_s,
        burst=_quantity(tenant.burst),
        counts_tokens=tenant.unit == _TOKEN_UNIT,
        n_plain_tokens=int(_quantity(tenant.plain_tokens)),
    )


def _quantity(value: Any) -> float:
    """Return a number of tokens or requests, 0.0 for any value that is none."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    # Not a number compares as False.
    return float(min(value, MAX_COST)) if value > 0 else 0.0


def _isolated_accounts(tenants: list[_Tenant]) -> frozenset[str]:
    return frozenset(tenant.name for tenant in tenants if tenant.isolated)


def _limits(limits: _Limits | None) -> ClientLimits:
    if limits is None:
        return ClientLimits()
    return ClientLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    )
