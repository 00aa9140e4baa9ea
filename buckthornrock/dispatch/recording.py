"""Converts requests and results to the fields of decision records."""

from expression import Result

from ..errors import Failure
from ..telemetry.decisions import WHOLE, RequestFacts
from .requests import CompletionDone, CompletionRequest


def request_facts(request: CompletionRequest) -> RequestFacts:
    """Return the recorded facts of a completion; they exclude the prompt."""
    work_class = request.work_class
    return RequestFacts(
        request_id=request.request_id,
        client_account=request.caller.client_account,
        member=request.caller.member,
        profile=request.profile,
        work_class=request.work_class_name,
        rank=work_class["rank"],
        is_deferrable=work_class["kind"] == "deferrable",
        ttft_target_ms=work_class["ttft_target_ms"],
        deadline_at_ms=request.deadline_at_ms,
        n_prompt_bytes=len(request.prompt),
    )


def outcome_of(result: Result[CompletionDone, Failure]) -> tuple[str, str, int]:
    """Return the outcome, the ``not_run`` value and the number of tokens sent."""
    if result.is_ok():
        return WHOLE, "", result.ok.n_tokens
    failure = result.error
    n_tokens = getattr(failure, "n_tokens_sent", 0)
    return failure.code, getattr(failure, "not_run", ""), n_tokens
