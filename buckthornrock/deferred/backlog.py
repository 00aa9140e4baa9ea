"""The jobs that this instance holds, and the order in which they run.

Jobs that are projected to miss their deadline run first, earliest deadline first.
Otherwise client accounts share the instance by fair queueing on the number of jobs
started. Within an account the job with the earliest deadline runs, or, while that job
has slack, one that shares the prompt prefix of the account's last job, for a hit in
the prefix cache.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .ids import JobAddress
from .records import Job

#: A job's deadline is near once this fraction of its allowed time remains.
NEAR_FRACTION = 0.25
#: At this remaining fraction a job counts as projected to miss its deadline.
VERY_NEAR_FRACTION = 0.1
#: Projections multiply the mean time per job by this safety margin.
PROJECTION_MARGIN = 1.5
#: Weight of the newest sample in the moving average of the time between two
#: finished jobs.
EWMA_WEIGHT = 0.1


class HeldJob(NamedTuple):
    """A job of a segment that this instance holds.

    ``has_raised_rank`` says whether the job was started at a better rank than its work
    class has, because its deadline was near or projected to be missed.
    ``is_start_recorded`` says whether this instance has started it before.
    """

    address: JobAddress
    job: Job
    n_attempts: int = 0
    not_before_wall_ms: int = 0
    has_raised_rank: bool = False
    is_start_recorded: bool = False

    @property
    def prefix(self) -> tuple[str, str, str]:
        """Key that is equal for jobs that can share prefix cache blocks."""
        return self.job.client_account, self.job.member, self.job.prefix_id


class _Account:
    """The waiting jobs of one client account, earliest deadline first."""

    def __init__(self) -> None:
        self.jobs: list[HeldJob] = []
        self.virtual_start = 0.0
        self.last_prefix: tuple[str, str, str] | None = None


class Backlog:
    """Waiting and running jobs of one instance.

    Not thread-safe: callers hold a common lock.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._running: dict[JobAddress, HeldJob] = {}
        self._virtual_time = 0.0
        self._ms_per_job = 0.0
        self._finished_at_ms: float | None = None
        self._projected_late: frozenset[JobAddress] = frozenset()

    @property
    def n_waiting(self) -> int:
        """Number of waiting jobs."""
        return sum(len(account.jobs) for account in self._accounts.values())

    def state(self, address: JobAddress) -> str:
        """Return ``waiting`` or ``running``, or an empty string for other jobs."""
        if address in self._running:
            return "running"
        waiting = (held for a in self._accounts.values() for held in a.jobs)
        return "waiting" if any(held.address == address for held in waiting) else ""

    def add(self, jobs: Iterable[HeldJob]) -> None:
        """Add waiting jobs."""
        for held in jobs:
            account = self._account(held)
            if not account.jobs:
                account.virtual_start = max(account.virtual_start, self._virtual_time)
            account.jobs.append(held)
        for account in self._accounts.values():
            account.jobs.sort(key=lambda held: held.job.deadline_wall_ms)

    def drop_segment(self, segment_id: str) -> None:
        """Remove the waiting jobs of a segment."""
        for account in self._accounts.values():
            account.jobs = [
                held for held in account.jobs if held.address.segment_id != segment_id
            ]

    def drop(self, address: JobAddress) -> None:
        """Remove a job if it is waiting."""
        for account in self._accounts.values():
            account.jobs = [held for held in account.jobs if held.address != address]

    def remove_expired(self, wall_ms: int) -> list[HeldJob]:
        """Remove and return the waiting jobs whose deadline has passed."""
        expired_jobs: list[HeldJob] = []
        for account in self._accounts.values():
            expired_jobs += [
                h for h in account.jobs if h.job.deadline_wall_ms <= wall_ms
            ]
            account.jobs = [
                held for held in account.jobs if held.job.deadline_wall_ms > wall_ms
            ]
        return expired_jobs

    def pop_next(self, wall_ms: int) -> HeldJob | None:
        """Move the next ready job to the running ones and return it, or None."""
        held = self._choose_next(wall_ms)
        if held is None:
            return None
        account = self._account(held)
        account.jobs.remove(held)
        is_near = remaining_fraction(held.job, wall_ms) <= NEAR_FRACTION
        held = held._replace(
            has_raised_rank=is_near or held.address in self._projected_late
        )
        self._virtual_time = max(self._virtual_time, account.virtual_start)
        account.virtual_start += 1.0
        account.last_prefix = held.prefix
        self._running[held.address] = held
        return held

    def finish(self, held: HeldJob, now_ms: float) -> None:
        """Remove a running job that has ended and update the mean time per job."""
        self._running.pop(held.address, None)
        if self._finished_at_ms is not None and self.n_waiting:
            gap_ms = now_ms - self._finished_at_ms
            weight = EWMA_WEIGHT if self._ms_per_job else 1.0
            self._ms_per_job += weight * (gap_ms - self._ms_per_job)
        self._finished_at_ms = now_ms

    def requeue(self, held: HeldJob) -> None:
        """Make a running job wait again."""
        self._running.pop(held.address, None)
        self.add((held,))

    def update_projection(self, wall_ms: int) -> None:
        """Find the jobs that would miss their deadline at the current pace.

        The projection assumes that jobs run one after the other by deadline.
        """
        jobs = [held for account in self._accounts.values() for held in account.jobs]
        jobs.sort(key=lambda held: held.job.deadline_wall_ms)
        ms_per_job = self._ms_per_job * PROJECTION_MARGIN
        projected_late = (
            held.address
            for index, held in enumerate(jobs)
            if wall_ms + (index + 1) * ms_per_job > held.job.deadline_wall_ms
            or remaining_fraction(held.job, wall_ms) <= VERY_NEAR_FRACTION
        )
        self._projected_late = frozenset(projected_late)

    def rank(self, held: HeldJob, class_rank: int, wall_ms: int) -> int:
        """Return the job's priority rank, 0 being highest.

        The rank improves by one near the deadline, and to 0 if the job is projected
        to miss it.
        """
        if held.address in self._projected_late:
            return 0
        if remaining_fraction(held.job, wall_ms) <= NEAR_FRACTION:
            return max(0, class_rank - 1)
        return class_rank

    def should_yield(self, held: HeldJob, wall_ms: int) -> bool:
        """Return whether a job that has not been sent yet should go back to waiting."""
        if held.address in self._projected_late:
            return not held.has_raised_rank
        if held.has_raised_rank:
            return False
        if remaining_fraction(held.job, wall_ms) <= NEAR_FRACTION:
            return True
        waiting = (h for a in self._accounts.values() for h in a.jobs)
        return any(
            h.address in self._projected_late and h.not_before_wall_ms <= wall_ms
            for h in waiting
        )

    def _choose_next(self, wall_ms: int) -> HeldJob | None:
        ready = [
            (account, jobs)
            for account in self._accounts.values()
            if (jobs := _ready_jobs(account.jobs, wall_ms))
        ]
        if not ready:
            return None
        projected_late = [
            h for _, jobs in ready for h in jobs if h.address in self._projected_late
        ]
        if projected_late:
            return min(projected_late, key=lambda held: held.job.deadline_wall_ms)
        account, jobs = min(ready, key=lambda pair: pair[0].virtual_start)
        if remaining_fraction(jobs[0].job, wall_ms) <= NEAR_FRACTION:
            return jobs[0]
        same_prefix = (held for held in jobs if held.prefix == account.last_prefix)
        return next(same_prefix, jobs[0])

    def _account(self, held: HeldJob) -> _Account:
        return self._accounts.setdefault(held.job.client_account, _Account())


def remaining_fraction(job: Job, wall_ms: int) -> float:
    """Return which fraction of the time from acceptance to deadline remains."""
    allowed_ms = max(1, job.deadline_wall_ms - job.accepted_wall_ms)
    return (job.deadline_wall_ms - wall_ms) / allowed_ms


def _ready_jobs(jobs: list[HeldJob], wall_ms: int) -> list[HeldJob]:
    return [held for held in jobs if held.not_before_wall_ms <= wall_ms]
