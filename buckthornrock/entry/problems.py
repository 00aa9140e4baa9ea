"""Maps each failure type to an RFC 9457 problem document."""

from typing import NamedTuple

from ..admission import errors as admission
from ..deferred import errors as deferred
from ..dispatch import errors as dispatch
from ..errors import CallerGone, DeadlineExceeded, Failure, NotRun, Unavailable
from ..fleet.placement_store import PlacementConflict, PlacementUndecided
from ..httpd import BodyProblem, Exchange, Overloaded
from ..idempotency import errors as idempotency
from ..profiles import errors as profiles
from ..routing.errors import NoEngine
from ..upstreams import errors as upstreams
from . import errors as entry


class ProblemRule(NamedTuple):
    """Status, title and ``not_run`` value of a failure type.

    If ``not_run`` is None, the failure's own ``not_run`` field is used.
    """

    status: int
    title: str
    not_run: NotRun | None


#: Every failure type that can reach a caller.
RULES: dict[type, ProblemRule] = {
    entry.Unauthenticated: ProblemRule(401, "Unknown key", "true"),
    entry.BadRequest: ProblemRule(400, "Malformed request", "true"),
    entry.UnknownWorkClass: ProblemRule(422, "Unknown work class", "true"),
    entry.NotDeferrable: ProblemRule(422, "Not deferrable", "true"),
    entry.NoSuchPath: ProblemRule(404, "No such path", "true"),
    entry.MethodNotAllowed: ProblemRule(405, "Method not allowed", "true"),
    entry.InternalError: ProblemRule(500, "Internal error", "unknown"),
    # Its status is none of those that promise that nothing was run.
    entry.InstanceStopped: ProblemRule(504, "The instance stopped", "unknown"),
    BodyProblem: ProblemRule(400, "Unreadable body", "true"),
    Overloaded: ProblemRule(503, "Clients hold too much memory", "true"),
    profiles.UnknownProfile: ProblemRule(422, "Unknown profile", "true"),
    profiles.InvalidProfile: ProblemRule(422, "Invalid profile", "true"),
    profiles.ProfileConflict: ProblemRule(409, "Another change came first", "true"),
    profiles.ProfileUndecided: ProblemRule(503, "Change not confirmed", None),
    profiles.UnreadableProfile: ProblemRule(503, "Unreadable profile", "true"),
    profiles.UnknownVersion: ProblemRule(422, "Unknown profile version", "true"),
    profiles.HistoryUnreadable: ProblemRule(503, "History not readable", "true"),
    NoEngine: ProblemRule(503, "No engine serves the model now", "true"),
    admission.LimitReached: ProblemRule(429, "Limit reached", "true"),
    admission.QueueFull: ProblemRule(503, "Too much work waits", "true"),
    admission.TooLate: ProblemRule(503, "The deadline can't be met", "true"),
    upstreams.AttemptFailed: ProblemRule(502, "The upstream failed", None),
    upstreams.StreamBroken: ProblemRule(502, "The stream broke", "unknown"),
    upstreams.UpstreamRefused: ProblemRule(502, "The upstream refused", "unknown"),
    dispatch.ResponseIncomplete: ProblemRule(502, "The answer broke off", "false"),
    dispatch.CallOutcomeUnknown: ProblemRule(504, "The outcome is unknown", None),
    dispatch.NoServer: ProblemRule(503, "No server is available", None),
    PlacementConflict: ProblemRule(409, "Another change came first", "true"),
    PlacementUndecided: ProblemRule(503, "Change not confirmed", None),
    dispatch.TooManyCalls: ProblemRule(503, "Too many calls are running", None),
    dispatch.ProfileNotInForce: ProblemRule(503, "No profile is in force", None),
    idempotency.KeyReused: ProblemRule(422, "The key names another call", "true"),
    idempotency.CallInProgress: ProblemRule(409, "The call is running", "unknown"),
    idempotency.KeyedOutcomeUnknown: ProblemRule(
        504, "The outcome is unknown", "unknown"
    ),
    idempotency.AnswerNotKept: ProblemRule(410, "The answer was not kept", "false"),
    idempotency.KeyStoreUnavailable: ProblemRule(
        503, "The key can't be claimed", "unknown"
    ),
    # A genuine key fails its MAC check once the secret that sealed it has changed,
    # so the call may have run.
    idempotency.KeyNotGenuine: ProblemRule(422, "The key is not genuine", "unknown"),
    idempotency.KeyExpired: ProblemRule(410, "The key expired", "unknown"),
    idempotency.TooManyKeys: ProblemRule(503, "Too many keys in use", "true"),
    idempotency.ForwardedNotRun: ProblemRule(503, "The issuer did not run it", "true"),
    dispatch.BadEventId: ProblemRule(403, "Not an event id of this caller", "true"),
    dispatch.EventIdMismatch: ProblemRule(409, "Another request body", "true"),
    deferred.NotAccepted: ProblemRule(503, "The job was not accepted", None),
    deferred.KeyReused: ProblemRule(422, "The key names another job", "true"),
    deferred.NoTrustedProfile: ProblemRule(503, "No accepted profile yet", "true"),
    deferred.UnknownJob: ProblemRule(404, "No such job", "true"),
    entry.UnknownRequest: ProblemRule(404, "No record of the request", "true"),
    deferred.JobUnreadable: ProblemRule(503, "The job can't be read now", "true"),
    DeadlineExceeded: ProblemRule(504, "The deadline passed", None),
    Unavailable: ProblemRule(503, "Unavailable", "true"),
    CallerGone: ProblemRule(499, "The caller left", "false"),
}


def problem_document(failure: Failure, request_id: str) -> dict:
    """Return the problem document of ``failure``."""
    rule = RULES[type(failure)]
    not_run = rule.not_run or failure.not_run
    document = {
        "type": f"urn:buckthornrock:problem:{failure.code}",
        "title": rule.title,
        "status": _status(failure, rule),
        "code": failure.code,
        "not_run": {"true": True, "false": False}.get(not_run, "unknown"),
        "request_id": request_id,
    }
    details = {k: v for k, v in failure._asdict().items() if k != "not_run"}
    return {**document, "details": details}


def respond_problem(exchange: Exchange, failure: Failure, request_id: str) -> None:
    """Send the problem document of ``failure`` as the response."""
    document = problem_document(failure, request_id)
    headers = {"Content-Type": "application/problem+json", "X-Request-Id": request_id}
    retry_after_ms = getattr(failure, "retry_after_ms", 0)
    if retry_after_ms:
        headers["Retry-After"] = str(-(-retry_after_ms // 1000))
    if isinstance(failure, entry.MethodNotAllowed):
        headers["Allow"] = ", ".join(failure.allowed)
    exchange.respond_json(document["status"], document, headers)


def _status(failure: Failure, rule: ProblemRule) -> int:
    return (
        getattr(failure, "status", rule.status)
        if isinstance(failure, BodyProblem)
        else rule.status
    )
