"""Routes requests of callers to the functions that serve them."""

from collections.abc import Callable

from ..dispatch import Caller
from ..events import entry as events
from ..httpd import Exchange, Handler, RequestHead
from .auth import CallerKeys
from .completions import new_request_id, serve_completion
from .context import EntryContext, refuse
from .deferred import PATH_PREFIX as DEFERRED_PREFIX
from .deferred import serve_deferred
from .errors import InternalError, MethodNotAllowed, NoSuchPath
from .services import KEYS_PATH, serve_issued_key, serve_service
from .services import PATH_PREFIX as SERVICES_PREFIX

COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")

_ServeFunction = Callable[[EntryContext, Exchange, Caller, str], None]


def build_entry_handler(context: EntryContext) -> Handler:
    """Return the handler of the HTTP port that callers use."""

    def handle(exchange: Exchange) -> None:
        request_id = exchange.request_id = new_request_id()
        try:
            _handle(context, exchange, request_id)
        except ConnectionError:
            exchange.abort()
        except Exception as error:  # noqa: BLE001 - one request must not end a thread
            context.telemetry.log(
                events.HANDLER_FAILED,
                path=exchange.path,
                error_type=type(error).__name__,
                reason=str(error),
            )
            _respond_internal_error(context, exchange, request_id)

    return handle


def build_body_check(keys: CallerKeys) -> Callable[[RequestHead], bool]:
    """Return the function that tells whether a request's body is read.

    A request that is refused for its head is answered without waiting for its body.
    """

    def needs_body(head: RequestHead) -> bool:
        serve = _serve_function(head.path)
        if serve is None or (serve is serve_completion and head.method != "POST"):
            return False
        return keys.authenticate(head.authorization).is_ok()

    return needs_body


def _handle(context: EntryContext, exchange: Exchange, request_id: str) -> None:
    serve = _serve_function(exchange.path)
    if serve is None:
        refuse(context, exchange, NoSuchPath(exchange.path), request_id)
        return
    if serve is serve_completion and exchange.method != "POST":
        failure = MethodNotAllowed(exchange.method, ("POST",))
        refuse(context, exchange, failure, request_id)
        return
    caller = context.keys.authenticate(exchange.headers.get("authorization", ""))
    if caller.is_error():
        refuse(context, exchange, caller.error, request_id)
        return
    serve(context, exchange, caller.ok, request_id)


def _serve_function(path: str) -> _ServeFunction | None:
    if path in COMPLETION_PATHS:
        return serve_completion
    if path == KEYS_PATH:
        return serve_issued_key
    if path.startswith(DEFERRED_PREFIX):
        return serve_deferred
    if path.startswith(SERVICES_PREFIX):
        return serve_service
    return None


def _respond_internal_error(
    context: EntryContext, exchange: Exchange, request_id: str
) -> None:
    if exchange.is_started:
        exchange.abort()
        return
    refuse(context, exchange, InternalError(), request_id)
