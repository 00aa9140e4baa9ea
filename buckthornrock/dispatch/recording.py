"""Turns requests and results into what decision records hold of them."""

from expression import Result

from ..errors import Failure
from ..telemetry.decisions import WHOLE, RequestFacts
from .requests import CompletionDone, CompletionRequest


def facts_of(request: CompletionRequest) -> RequestFacts:
    """Return the facts of a completion, without its prompt."""
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


def ending_of(result: Result[CompletionDone, Failure]) -> tuple[str, str, int]:
    """Return outcome, "not run" and number of tokens."""
    if result.is_ok():
        return WHOLE, "", result.ok.n_tokens
    failure = result.error
    n_tokens = getattr(failure, "n_tokens_sent", 0)
    return failure.code, getattr(failure, "not_run", ""), n_tokens
