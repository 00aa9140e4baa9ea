"""Wires deferred work."""

from collections.abc import Callable

from expression import Error, Result

from ..deferred import DeferredPort, DeferredService, JobSubmission, open_deferred
from ..dispatch import Caller
from ..entry import EntryParts
from ..entry.completions import build_request, collect_answer
from ..entry.parsing import parse_completion
from ..errors import Failure
from ..membership import MembershipPort
from .core import Core


def build_deferred(
    core: Core, parts: EntryParts, membership: MembershipPort
) -> DeferredPort:
    """Wire deferred jobs; they run through the same parts as callers' requests."""
    service = DeferredService(core.kv, build_job_runner(parts), core.telemetry)
    return open_deferred(service)


def build_job_runner(
    parts: EntryParts,
) -> Callable[[str, JobSubmission], Result[dict, Failure]]:
    """Return a function that runs one job to its whole answer."""

    def run_job(job_id: str, job: JobSubmission) -> Result[dict, Failure]:
        is_chat = job.kind == "chat"
        fields = parse_completion(job.body, is_chat)
        if fields.is_error():
            return fields
        remaining_ms = max(1, job.deadline_wall_ms - parts.clock.wall_ms())
        headers = {
            "x-profile": job.profile,
            "x-work-class": job.work_class,
            "x-deadline-ms": str(remaining_ms),
        }
        caller = Caller(job.client_account, job.member)
        request = build_request(parts, caller, job_id, job.body, fields.ok, headers)
        if request.is_error():
            return Error(request.error)
        deferred = request.ok._replace(is_deferred=True)
        return collect_answer(parts, deferred, is_chat, lambda: False)

    return run_job
