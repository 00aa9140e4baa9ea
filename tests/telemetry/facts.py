"""Builds the request attributes that telemetry tests record."""

from buckthornrock.telemetry.decisions import RequestFacts


def build_facts(request_id, account="shop", is_deferrable=False):
    return RequestFacts(
        request_id=request_id,
        client_account=account,
        member="m",
        profile="default",
        work_class="notes" if is_deferrable else "blurb",
        rank=0,
        is_deferrable=is_deferrable,
        ttft_target_ms=100.0,
        deadline_at_ms=1e12,
        n_prompt_bytes=64,
    )
