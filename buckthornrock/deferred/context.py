"""Dependencies and settings of deferred work, and the interface to run a job."""

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
    """Functions that a run calls while it is queued and while it runs.

    Parameters
    ----------
    rank : callable
        ``rank(class_rank) -> int``; the job's rank, which improves as the deadline
        nears.
    is_lost : callable
        ``is_lost() -> bool``; whether another instance may run the job now.
    should_yield : callable
        ``should_yield() -> bool``; whether a job that was not sent yet should go back
        to waiting, because another one is more urgent or its own rank has improved.
    """

    rank: Callable[[int], int]
    is_lost: Callable[[], bool]
    should_yield: Callable[[], bool]


#: ``run_job(job_id, submission, control)`` runs a job and returns its whole answer.
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
    """What deferred work depends on.

    Parameters
    ----------
    holder : str
        Value of this instance's claims; names the instance and its incarnation.
    self_id : str
        Id of this instance.
    live_ids : callable
        ``live_ids() -> tuple[str, ...]``; ids of the live instances.
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
