"""Builds upstreams, demands and views for the tests of scheduling and rollout."""

from buckthornrock.catalog.configuration import (
    EngineSpec,
    PromptStore,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.scheduling.loads import FleetLoads
from buckthornrock.scheduling.placement import Demand, SchedulingView
from buckthornrock.scheduling.prompt import PromptPart, PromptShape
from buckthornrock.scheduling.weights import WeightsView

CAPACITY = 170_000
ENGINES = Service("engines", 100, EngineSpec(32, CAPACITY, 35_136, 550_000.0))
PLAIN = Service("till", 100, None)
STORE = PromptStore("store", "10.9.9.9:1", "b", 2_000_000)


def engine(number, version=1, failure_domain="a", n_slots=32):
    return Upstream(
        f"e{number}", "engines", f"10.0.0.{number}:80", failure_domain, False, 1,
        n_slots, {"m": version},
    )  # fmt: skip


def route(rank, objective_ms, kind=RouteKind.STREAM):
    return Route(
        "r", "h", "/", kind, (ServiceShare("engines", 1.0),), 12_000.0, objective_ms,
        rank, 1, False, False, 400.0,
    )  # fmt: skip


def short(request_id="short", rank=1, cache_scope="shared"):
    prompt = PromptShape("m", (PromptPart("own", 380),), 380, 50)
    return Demand(request_id, route(0, 500.0), rank, ENGINES, cache_scope, prompt)


def long(shared="contract", n_shared=13_300, rank=1, cache_scope="shared", n_own=3_700):
    parts = (PromptPart(shared, n_shared), PromptPart("own", n_own))
    prompt = PromptShape("m", parts, n_shared + n_own, 160)
    return Demand("long", route(2, 1_500.0), rank, ENGINES, cache_scope, prompt)


def plain(request_id="plain"):
    kind = RouteKind.NON_IDEMPOTENT
    return Demand(request_id, route(2, 200.0, kind), 1, PLAIN, "shared", None)


def view(now_ms=0.0, stores=(), weights=None, loads=None):
    return SchedulingView(
        loads or FleetLoads(), weights or WeightsView(20_000.0), stores, "a", now_ms
    )
