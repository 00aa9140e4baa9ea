"""What the entry handlers share."""

from typing import NamedTuple

from ..deferred import DeferredPort
from ..dispatch import Caller, CompletionDispatcher, ServiceDispatcher
from ..dispatch.continuation import EventIds
from ..errors import Failure
from ..events import entry as events
from ..httpd import Exchange
from ..profiles import ProfilePort
from ..runtime import Clock
from ..telemetry import Telemetry
from ..telemetry.metrics import REFUSALS
from .auth import CallerKeys
from .problems import problem_document, respond_problem


class EntryContext(NamedTuple):
    """The parts that the composition root hands to the entry port."""

    keys: CallerKeys
    profiles: ProfilePort
    completions: CompletionDispatcher
    services: ServiceDispatcher
    deferred: DeferredPort
    telemetry: Telemetry
    clock: Clock
    default_profile: str
    event_ids: EventIds


def refuse(
    parts: EntryContext,
    exchange: Exchange,
    failure: Failure,
    request_id: str,
    caller: Caller | None = None,
) -> None:
    """Answer with a problem document, and count and log it."""
    parts.telemetry.metrics.incr(REFUSALS, label=failure.code)
    parts.telemetry.log(
        events.REQUEST_REFUSED,
        request_id=request_id,
        client_account=caller.client_account if caller else "",
        failure=failure.code,
        not_run=problem_document(failure, request_id)["not_run"],
    )
    respond_problem(exchange, failure, request_id)
