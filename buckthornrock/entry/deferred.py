"""Submits, reads and cancels deferred jobs."""

import re

from ..deferred import JobSubmission, JobView
from ..deferred.errors import NoTrustedProfile
from ..dispatch import Caller, CompletionRequest
from ..httpd import Exchange
from .context import EntryContext, refuse
from .errors import MethodNotAllowed, NotDeferrable

PATH_PREFIX = "/v1/deferred/"
#: Upper limit of ``N`` in ``Prefer: wait=N``; longer waits are cut to it.
MAX_WAIT_S = 3_600
_WAIT_S = re.compile(r"[0-9]{1,6}")


def submit_deferred(
    context: EntryContext,
    exchange: Exchange,
    request: CompletionRequest,
    is_chat: bool,
    wait_ms: float = 0.0,
) -> None:
    """Submit a completion as a deferred job; respond once the job is durable.

    ``wait_ms`` is how long to wait if the job can't be made durable at once.
    """
    record = context.profiles.current(request.profile)
    if record.is_error() or record.ok.trust == "start":
        failure = NoTrustedProfile(request.profile)
        refuse(context, exchange, failure, request.request_id, request.caller)
        return
    if request.work_class["kind"] != "deferrable":
        failure = NotDeferrable(request.work_class_name)
        refuse(context, exchange, failure, request.request_id, request.caller)
        return
    submission = _submission(context, exchange, request, is_chat)
    job_id = context.deferred.submit(submission, wait_ms)
    if job_id.is_error():
        refuse(context, exchange, job_id.error, request.request_id, request.caller)
        return
    head = {"Location": PATH_PREFIX + job_id.ok, "X-Request-Id": request.request_id}
    exchange.respond_json(202, {"id": job_id.ok, "state": "waiting"}, head)


def deferred_wait_ms(preferences: dict[str, str]) -> float:
    """Return how long the caller prefers to wait for the job to be made durable."""
    wait = preferences.get("wait", "")
    if not _WAIT_S.fullmatch(wait):
        return 0.0
    return 1000.0 * min(int(wait), MAX_WAIT_S)


def _submission(
    context: EntryContext, exchange: Exchange, request: CompletionRequest, is_chat: bool
) -> JobSubmission:
    remaining_ms = request.deadline_at_ms - context.clock.now_ms()
    return JobSubmission(
        client_account=request.caller.client_account,
        member=request.caller.member,
        profile=request.profile,
        work_class=request.work_class_name,
        body=request.body,
        kind="chat" if is_chat else "completion",
        deadline_wall_ms=context.clock.wall_ms() + int(remaining_ms),
        idempotency_key=exchange.headers.get("idempotency-key", ""),
    )


def serve_deferred(
    context: EntryContext, exchange: Exchange, caller: Caller, request_id: str
) -> None:
    """Read (GET) or cancel (DELETE) one job."""
    job_id = exchange.path.removeprefix(PATH_PREFIX)
    actions = {"GET": context.deferred.read, "DELETE": context.deferred.cancel}
    action = actions.get(exchange.method)
    if action is None:
        failure = MethodNotAllowed(exchange.method, tuple(actions))
        refuse(context, exchange, failure, request_id, caller)
        return
    view = action(caller.client_account, caller.member, job_id)
    if view.is_error():
        refuse(context, exchange, view.error, request_id, caller)
        return
    exchange.respond_json(200, _view_document(view.ok))


def _view_document(view: JobView) -> dict:
    document = {"id": view.job_id, "state": view.state}
    if view.answer is not None:
        document["answer"] = view.answer
    if view.failure_code:
        document["failure_code"] = view.failure_code
    return document
