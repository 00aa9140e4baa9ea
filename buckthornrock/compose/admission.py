"""Wires limits and queues to profiles, fleet and membership."""

from collections.abc import Callable

from ..admission import AdmissionPort, AdmissionQuery, open_unlimited
from ..admission.blocking import Admission, AdmissionConfig, open_admission
from ..admission.limits import open_limits
from ..admission.model_queues import ModelQueueConfig
from ..admission.policy import ModelCapacity, WorkPolicy
from ..conf import Settings
from ..fleet import Fleet
from ..membership import MembershipPort
from ..profiles import ProfilePort
from ..profiles.start import start_profile
from ..telemetry.metrics import WAITING_TOKENS, WINDOW_TOKENS
from .core import Core, run_periodically
from .limits import account_limits, build_limits

REFRESH_PERIOD_MS = 250


def build_admission(
    core: Core, membership: MembershipPort, profiles: ProfilePort, fleet: Fleet
) -> AdmissionPort:
    """Wire limits and queues."""
    if core.settings.admission.policy == "unlimited":
        return open_unlimited(core.clock.now_ms)
    limiter = build_limits(core, membership, profiles)
    admission = Admission(
        admission_config(core.settings),
        lambda query: work_policy(profiles, query),
        capacity_lookup(fleet, membership),
        open_limits(limiter),
        core.clock.now_ms,
    )
    run_periodically(
        core,
        "admission.refresh",
        lambda: _refresh(core, admission),
        REFRESH_PERIOD_MS,
    )
    return open_admission(admission)


def _refresh(core: Core, admission: Admission) -> None:
    admission.refresh()
    metrics = core.telemetry.metrics
    for model, n_tokens in admission.waiting_tokens().items():
        metrics.gauge(WAITING_TOKENS, n_tokens, label=model)
    for model, n_tokens in admission.window_tokens().items():
        metrics.gauge(WINDOW_TOKENS, n_tokens, label=model)


def admission_config(settings: Settings) -> AdmissionConfig:
    """Return the rules that the settings state."""
    section = settings.admission
    n_threads = settings.entry.n_threads
    return AdmissionConfig(
        queues=ModelQueueConfig(
            section.urgent_headroom,
            section.deferrable_wait_ms,
            section.min_requests_per_engine,
        ),
        controller=section.controller,
        target_delay_ms=section.target_delay_ms,
        initial_window_tokens=section.window_tokens,
        output_token_cost=section.output_token_cost,
        max_caller_threads=max(1, int(n_threads * section.caller_thread_share)),
        max_deferrable_threads=max(1, int(n_threads * section.deferrable_thread_share)),
    )


def capacity_lookup(
    fleet: Fleet, membership: MembershipPort
) -> Callable[[str], ModelCapacity]:
    """Return a function that sums up the engines of a model."""

    def capacity_of(model: str) -> ModelCapacity:
        engines = fleet.engines(model)
        rate = sum(engine.prefill_tokens_per_s for engine in engines)
        return ModelCapacity(len(engines), rate, max(1, len(membership.live())))

    return capacity_of


def work_policy(profiles: ProfilePort, query: AdmissionQuery) -> WorkPolicy:
    """Return what the profile in force says of ``query``."""
    record = profiles.current(query.profile)
    profile = record.ok.profile if record.is_ok() else start_profile()
    work_class = profile["work_classes"].get(query.work_class)
    limits = account_limits(profile, query.client_account)
    if work_class is None:
        work_class = profile["work_classes"][profile["default_work_class"]]
    # Work whose rank was raised, because its deadline nears, counts as urgent.
    is_raised = query.rank < work_class["rank"]
    is_deferrable = work_class["kind"] == "deferrable" and not is_raised
    return WorkPolicy(
        is_deferrable=is_deferrable,
        ttft_target_ms=work_class["ttft_target_ms"],
        deferrable_floor=profile["deferrable_floor"],
        member_weight=limits.get("member_weights", {}).get(query.member, 1.0),
        requests_per_s=limits["requests_per_s"],
        tokens_per_s=limits["tokens_per_s"],
    )
