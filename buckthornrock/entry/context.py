"""Dependencies and the refusal that all entry handlers share."""

from typing import NamedTuple

from ..deferred import DeferredPort
from ..dispatch import Caller, CompletionDispatcher, ServiceDispatcher
from ..dispatch.continuation import EventIds
from ..errors import Failure
from ..events import entry as events
from ..httpd import BodyProblem, Exchange, Overloaded
from ..profiles import ProfilePort
from ..runtime import Clock
from ..telemetry import Telemetry
from ..telemetry.metrics import REFUSALS
from .auth import CallerKeys
from .client_reports import LineBudget
from .problems import problem_document, respond_problem


class EntryContext(NamedTuple):
    """Dependencies that the composition root passes to the entry handlers."""

    keys: CallerKeys
    profiles: ProfilePort
    completions: CompletionDispatcher
    services: ServiceDispatcher
    deferred: DeferredPort
    telemetry: Telemetry
    clock: Clock
    default_profile: str
    event_ids: EventIds
    refusal_lines: LineBudget


def refuse(
    context: EntryContext,
    exchange: Exchange,
    failure: Failure,
    request_id: str,
    caller: Caller | None = None,
) -> None:
    """Respond with a problem document; count and log the refusal."""
    context.telemetry.metrics.incr(REFUSALS, label=failure.code)
    if _is_logged(context, failure, caller):
        context.telemetry.log(
            events.REQUEST_REFUSED,
            request_id=request_id,
            client_account=caller.client_account if caller else "",
            failure=failure.code,
            not_run=problem_document(failure, request_id)["not_run"],
        )
    respond_problem(exchange, failure, request_id)


def _is_logged(context: EntryContext, failure: Failure, caller: Caller | None) -> bool:
    """Return whether a refusal is logged; those that are cheap to cause are bounded."""
    if caller is not None and not isinstance(failure, BodyProblem | Overloaded):
        return True
    n_left_out = context.refusal_lines.take()
    if n_left_out:
        context.telemetry.log(events.REFUSALS_LEFT_OUT, n_lines=n_left_out)
    return n_left_out is not None
