"""Handlers of operators' requests for profiles."""

import hashlib
from typing import Any

import msgspec
from expression import Ok, Result

from ..entry.auth import BEARER
from ..entry.completions import new_request_id
from ..entry.errors import BadRequest
from ..entry.problems import respond_problem
from ..errors import Failure
from ..httpd import Exchange
from ..profiles import ProfilePort, ProfileRecord
from ..runtime.decoding import decode_json
from .app import OperatorRoute

LIST_PATH = "/v1/profiles"
PROFILE_PREFIX = "/v1/profiles/"
HISTORY_PREFIX = "/v1/profile-history/"
ROLLBACK_PREFIX = "/v1/profile-rollback/"
STATUS_PREFIX = "/v1/profile-status/"
KEY_ID_DIGITS = 8


class _ApplyBody(msgspec.Struct):
    expected_version: int
    profile: dict[str, Any]
    author: str = ""


class _RollbackBody(msgspec.Struct):
    expected_version: int
    version: int
    author: str = ""


def profile_routes(profiles: ProfilePort) -> tuple[OperatorRoute, ...]:
    """Return the routes that read and change profiles."""

    def apply(exchange: Exchange) -> None:
        name = exchange.path.removeprefix(PROFILE_PREFIX)
        body = _read_body(exchange, _ApplyBody)
        record = body.bind(
            lambda b: profiles.apply(
                name, b.profile, b.expected_version, _author(exchange, b.author)
            )
        )
        _respond(exchange, record.map(_summary))

    def rollback(exchange: Exchange) -> None:
        name = exchange.path.removeprefix(ROLLBACK_PREFIX)
        body = _read_body(exchange, _RollbackBody)
        record = body.bind(
            lambda b: profiles.rollback(
                name, b.version, b.expected_version, _author(exchange, b.author)
            )
        )
        _respond(exchange, record.map(_summary))

    def show(exchange: Exchange) -> None:
        record = profiles.current(exchange.path.removeprefix(PROFILE_PREFIX))
        _respond(exchange, record.map(lambda r: {**_summary(r), "profile": r.profile}))

    def list_all(exchange: Exchange) -> None:
        records = [profiles.current(name) for name in profiles.names()]
        rows = [_summary(record.ok) for record in records if record.is_ok()]
        _respond(exchange, Ok({"profiles": rows}))

    def history(exchange: Exchange) -> None:
        records = profiles.history(exchange.path.removeprefix(HISTORY_PREFIX))
        _respond(
            exchange, records.map(lambda rs: {"versions": list(map(_summary, rs))})
        )

    def status(exchange: Exchange) -> None:
        name = exchange.path.removeprefix(STATUS_PREFIX)
        rows = [row._asdict() for row in profiles.status(name)]
        _respond(exchange, Ok({"name": name, "instances": rows}))

    return (
        OperatorRoute("PUT", PROFILE_PREFIX, apply),
        OperatorRoute("GET", PROFILE_PREFIX, show),
        OperatorRoute("GET", LIST_PATH, list_all),
        OperatorRoute("GET", HISTORY_PREFIX, history),
        OperatorRoute("POST", ROLLBACK_PREFIX, rollback),
        OperatorRoute("GET", STATUS_PREFIX, status),
    )


def _read_body(exchange: Exchange, target: type) -> Result[Any, Failure]:
    raw = exchange.read_body(is_decoded=True)
    if raw.is_error():
        return raw
    return decode_json(raw.ok, target).map_error(
        lambda error: BadRequest("$", error.reason)
    )


def _respond(exchange: Exchange, result: Result[Any, Failure]) -> None:
    if result.is_error():
        respond_problem(exchange, result.error, new_request_id())
        return
    exchange.respond_json(200, result.ok)


def _author(exchange: Exchange, name: str) -> str:
    """Return the author of a change: the given name and an id of the operator key."""
    key = exchange.headers.get("authorization", "").removeprefix(BEARER).strip()
    key_id = hashlib.sha256(key.encode()).hexdigest()[:KEY_ID_DIGITS]
    return f"{name} (key {key_id})" if name else f"key {key_id}"


def _summary(record: ProfileRecord) -> dict:
    return {
        "name": record.name,
        "version": record.version,
        "trust": record.trust,
        "author": record.author,
        "accepted_wall_ms": record.accepted_wall_ms,
    }
