"""Decodes the store entries of upstreams and of wanted weights."""

from typing import Literal, NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..catalog.upstreams import Upstream, oddity
from ..runtime.decoding import Count, decode_json
from .errors import Undecodable

#: Prefix of the keys that upstreams register themselves under.
UPSTREAMS_PREFIX = "servers/"
#: Prefix of the keys that operators write: the configuration, and the wanted weights
#: version of each model.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"


class _Model(msgspec.Struct, rename="camel"):
    name: str
    version: Count


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    zone: str
    slots: Count
    state: Literal["ready", "draining"]
    #: Time of the start in Unix milliseconds.
    born: Count
    models: list[_Model] = []


class _Weights(msgspec.Struct, rename="camel"):
    model: str
    version: Count


class WantedWeights(NamedTuple):
    """The version of a model's weights that operators want on all engines."""

    model: str
    version: int


def decode_upstream(key: str, value: bytes) -> Result[Upstream, Undecodable]:
    """Decode the entry of one upstream; entries of any other form are failures."""
    decoded = decode_json(value, _Entry)
    if decoded.is_error():
        return Error(Undecodable(key, decoded.error.reason))
    entry = decoded.ok
    upstream = Upstream(
        upstream_id=key.removeprefix(UPSTREAMS_PREFIX),
        service=entry.service,
        address=entry.addr,
        failure_domain=entry.zone,
        is_draining=entry.state == "draining",
        started_ms=entry.born,
        n_slots=entry.slots,
        weights_versions={model.name: model.version for model in entry.models},
    )
    if reason := oddity(upstream):
        return Error(Undecodable(key, reason))
    return Ok(upstream)


def decode_weights(key: str, value: bytes) -> Result[WantedWeights, Undecodable]:
    """Decode the wanted version of a model's weights."""
    weights = decode_json(value, _Weights)
    if weights.is_error():
        return Error(Undecodable(key, weights.error.reason))
    return Ok(WantedWeights(weights.ok.model, weights.ok.version))
