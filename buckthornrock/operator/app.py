"""Routes operators' requests; every path except ``/healthz`` needs an operator key."""

from collections.abc import Callable
from typing import NamedTuple

from ..entry.auth import BEARER, is_known_key
from ..entry.completions import new_request_id
from ..entry.errors import NoSuchPath, Unauthenticated
from ..entry.problems import respond_problem
from ..httpd import Exchange, Handler, RequestHead

_METHODS_WITH_BODY = frozenset({"POST", "PUT"})


class OperatorRoute(NamedTuple):
    """A path, or a path prefix if it ends in ``/``, with its handler."""

    method: str
    path: str
    handle: Callable[[Exchange], None]


class OperatorContext(NamedTuple):
    """What the handlers of the operators' port share."""

    keys_sha256: tuple[str, ...]
    is_ready: Callable[[], bool]
    status: Callable[[], dict]
    routes: tuple[OperatorRoute, ...]


def build_operator(context: OperatorContext) -> Handler:
    """Return the handler of the operators' port."""

    def handle(exchange: Exchange) -> None:
        if exchange.path == "/healthz":
            exchange.respond_json(200, {"status": "ok"})
            return
        authorization = exchange.headers.get("authorization", "")
        if not _is_operator(authorization, context.keys_sha256):
            respond_problem(exchange, Unauthenticated(), new_request_id())
            return
        if exchange.path == "/readyz":
            is_ready = context.is_ready()
            exchange.respond_json(200 if is_ready else 503, {"ready": is_ready})
            return
        if exchange.path == "/statusz":
            exchange.respond_json(200, context.status())
            return
        for route in context.routes:
            if _matches(route, exchange):
                route.handle(exchange)
                return
        respond_problem(exchange, NoSuchPath(exchange.path), new_request_id())

    return handle


def build_body_check(context: OperatorContext) -> Callable[[RequestHead], bool]:
    """Return the function that tells whether a request's body is read."""

    def needs_body(head: RequestHead) -> bool:
        return (
            head.method in _METHODS_WITH_BODY
            and any(_matches(route, head) for route in context.routes)
            and _is_operator(head.authorization, context.keys_sha256)
        )

    return needs_body


def _is_operator(authorization: str, digests: tuple[str, ...]) -> bool:
    if not authorization.startswith(BEARER):
        return False
    return is_known_key(authorization.removeprefix(BEARER).strip(), digests)


def _matches(route: OperatorRoute, exchange: Exchange | RequestHead) -> bool:
    if route.method != exchange.method:
        return False
    if route.path.endswith("/"):
        return exchange.path.startswith(route.path)
    return exchange.path == route.path
