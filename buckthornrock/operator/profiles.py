"""Operators' requests for profiles."""

from typing import Any

import msgspec

from ..entry.completions import new_request_id
from ..entry.errors import BadRequest
from ..entry.problems import respond_problem
from ..httpd import Exchange
from ..profiles import Profile, ProfilePort
from .app import OperatorRoute

PATH_PREFIX = "/v1/profiles/"


class _ApplyBody(msgspec.Struct):
    expected_version: int
    profile: dict[str, Any]


def profile_routes(profiles: ProfilePort) -> tuple[OperatorRoute, ...]:
    """Return the routes that read and change profiles."""

    def apply(exchange: Exchange) -> None:
        name = exchange.path.removeprefix(PATH_PREFIX)
        try:
            raw = exchange.read_body().default_value(b"")
            body = msgspec.json.decode(raw, type=_ApplyBody)
            profile = msgspec.convert(body.profile, Profile)
        except msgspec.MsgspecError as error:
            failure = BadRequest("$", str(error))
            respond_problem(exchange, failure, new_request_id())
            return
        record = profiles.apply(name, profile, body.expected_version)
        if record.is_error():
            respond_problem(exchange, record.error, new_request_id())
            return
        exchange.respond_json(200, {"name": name, "version": record.ok.version})

    def show(exchange: Exchange) -> None:
        record = profiles.current(exchange.path.removeprefix(PATH_PREFIX))
        if record.is_error():
            respond_problem(exchange, record.error, new_request_id())
            return
        exchange.respond_json(200, record.ok._asdict())

    return (
        OperatorRoute("PUT", PATH_PREFIX, apply),
        OperatorRoute("GET", PATH_PREFIX, show),
    )
