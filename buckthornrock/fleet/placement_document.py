"""The placement document: the desired model, weights and role of each engine."""

from collections.abc import Iterator
from typing import TypedDict

from ..conf.decoding import Problem

EMPTY = "PLC-E001"
BAD_SHARE = "PLC-E002"
UNKNOWN_UPSTREAM = "PLC-E003"


class WantedEngine(TypedDict):
    """Desired state of one engine."""

    model: str
    weights_version: str
    adapters: list[str]
    role: str


class Placement(TypedDict):
    """Desired state of the fleet's engines.

    An entry of ``upstreams`` overrides one of ``failure_domains``, where "*" matches
    any domain. While weights change, at least ``min_serving_share`` of a model's
    engines go on serving.
    """

    min_serving_share: float
    failure_domains: dict[str, WantedEngine]
    upstreams: dict[str, WantedEngine]


def empty_placement() -> Placement:
    """Return a document that names no engine, so that no order is sent."""
    return {"min_serving_share": 0.5, "failure_domains": {}, "upstreams": {}}


def wanted_for(
    placement: Placement, upstream_id: str, failure_domain: str
) -> WantedEngine | None:
    """Return the desired state of an engine, or None if the document has none."""
    if upstream_id in placement["upstreams"]:
        return placement["upstreams"][upstream_id]
    domains = placement["failure_domains"]
    return domains.get(failure_domain) or domains.get("*")


def check_placement(
    placement: Placement, engine_ids: frozenset[str]
) -> Iterator[Problem]:
    """Yield every validation problem of ``placement``."""
    if not 0.0 <= placement["min_serving_share"] <= 1.0:
        found = str(placement["min_serving_share"])
        yield Problem(BAD_SHARE, "$.min_serving_share", found, "write 0 to 1")
    for section in ("failure_domains", "upstreams"):
        for name, wanted in placement[section].items():
            for key in ("model", "weights_version"):
                if not wanted[key]:
                    path = f"$.{section}.{name}.{key}"
                    yield Problem(EMPTY, path, "an empty string", "give a name")
    for name in placement["upstreams"].keys() - engine_ids:
        path = f"$.upstreams.{name}"
        yield Problem(UNKNOWN_UPSTREAM, path, "unknown", "name an engine of the fleet")
