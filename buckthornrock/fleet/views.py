"""Immutable snapshots of the state of upstreams."""

from typing import Literal, NamedTuple

from ..upstreams.engine_messages import LoadReport


class EngineView(NamedTuple):
    """A model engine that may get new work.

    Parameters
    ----------
    n_waiting_tokens : int
        Prompt tokens in its queue, from the last load report.
    n_own_requests : int
        Requests that this instance has in flight there.
    prefill_tokens_per_s : float
        Prefill rate, from the last load report.
    report_age_ms : float
        Age of the last load report.
    health : float
        Share of its usual traffic that it should get, from 0 (ejected) to 1.
    """

    upstream_id: str
    address: str
    failure_domain: str
    incarnation: str
    weights_version: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    n_running: int
    n_waiting: int
    n_waiting_tokens: int
    n_own_requests: int
    prefill_tokens_per_s: float
    inter_token_ms: float
    report_age_ms: float
    health: float


class ServiceView(NamedTuple):
    """A server of a plain service that may get new work."""

    upstream_id: str
    service: str
    address: str
    failure_domain: str
    n_own_requests: int
    health: float


class UpstreamStatus(NamedTuple):
    """One upstream as operators and the engine controller see it.

    ``report`` is None before the first load report.
    """

    upstream_id: str
    kind: Literal["engine", "service"]
    failure_domain: str
    address: str
    report: LoadReport | None
    report_age_ms: float
    n_own_requests: int
    health: float
    is_leaving: bool
