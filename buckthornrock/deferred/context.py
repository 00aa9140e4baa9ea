"""What deferred work is built on: its parts, its settings and how a job is run."""

import random
from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from ..errors import Failure
from ..runtime import Clock
from ..store import KvPort
from ..telemetry import Telemetry
from .claims import LeasePort
from .ids import JobIds
from .port import JobSubmission


class JobControl(NamedTuple):
    """What a run asks while it waits and works.

    Parameters
    ----------
    rank : callable
        ``rank(class_rank) -> int``, by how near the deadline is.
    is_lost : callable
        ``is_lost() -> bool``: another instance may run the job.
    should_yield : callable
        ``should_yield() -> bool``: as long as nothing was sent, the job had better
        wait again, because another is more urgent or its own rank has risen.
    """

    rank: Callable[[int], int]
    is_lost: Callable[[], bool]
    should_yield: Callable[[], bool]


#: ``run_job(job_id, submission, control)``; runs to the answer.
RunJob = Callable[[str, JobSubmission, JobControl], Result[dict, Failure]]


class DeferredConfig(NamedTuple):
    """Settings of deferred work; see ``conf.settings.DeferredSettings``."""

    max_held_jobs: int
    max_unsaved_bytes: int
    max_waiting_submitters: int
    submit_timeout_ms: int
    retention_ms: int
    fleet_writes_per_s: float


class DeferredContext(NamedTuple):
    """What deferred work is built on.

    Parameters
    ----------
    holder : str
        This run of this instance, as it appears in claims.
    self_id : str
        This instance.
    live_ids : callable
        ``live_ids() -> Sequence[str]``.
    """

    kv: KvPort
    lease: LeasePort
    ids: JobIds
    run_job: RunJob
    clock: Clock
    telemetry: Telemetry
    rng: random.Random
    holder: str
    self_id: str
    live_ids: Callable[[], tuple[str, ...]]
