"""Jobs in the key-value service, run by worker threads of this instance."""

import os
import queue
import threading
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..errors import Failure
from ..events import deferred as events
from ..platform import CommitDone, CommitNotDone, Compare, KvPort, Put, Transaction
from ..telemetry import Telemetry
from .errors import JobUnreadable, NotAccepted, UnknownJob
from .port import DeferredPort, JobSubmission, JobView

KEY_PREFIX = "jobs/"

#: Runs one submission to its answer (a JSON object).
RunJob = Callable[[str, JobSubmission], Result[dict, Failure]]


class _Stored(msgspec.Struct):
    """A job as it is kept in the key-value service."""

    submission: JobSubmission
    state: str = "waiting"
    answer: dict | None = None
    failure_code: str = ""


class _Loaded(NamedTuple):
    """A stored job with the revision it was read at."""

    stored: _Stored
    mod_revision: int


class DeferredService:
    """Accepts jobs, runs them and keeps their results."""

    def __init__(
        self, kv: KvPort, run_job: RunJob, telemetry: Telemetry, n_workers: int = 4
    ) -> None:
        self._kv = kv
        self._run_job = run_job
        self._telemetry = telemetry
        self._queue: queue.SimpleQueue[str] = queue.SimpleQueue()
        for index in range(n_workers):
            threading.Thread(
                target=self._work, name=f"deferred-{index}", daemon=True
            ).start()

    def submit(self, submission: JobSubmission) -> Result[str, NotAccepted]:
        """Make the job durable and return its id."""
        job_id = os.urandom(12).hex()
        key = KEY_PREFIX + job_id
        value = msgspec.json.encode(_Stored(submission))
        outcome = self._kv.commit(Transaction((Compare(key, 0),), (Put(key, value),)))
        if isinstance(outcome, CommitNotDone):
            return Error(NotAccepted(outcome.reason, "true"))
        if not isinstance(outcome, CommitDone):
            return Error(NotAccepted(outcome.code, "unknown"))
        self._telemetry.log(
            events.JOB_ACCEPTED, job_id=job_id, client_account=submission.client_account
        )
        self._queue.put(job_id)
        return Ok(job_id)

    def read(
        self, client_account: str, member: str, job_id: str
    ) -> Result[JobView, UnknownJob | JobUnreadable]:
        """Return the job's state, and its answer when it is done."""
        loaded = self._load(job_id)
        if loaded.is_error():
            return loaded
        stored = loaded.ok.stored
        owner = (stored.submission.client_account, stored.submission.member)
        if owner != (client_account, member):
            return Error(UnknownJob(job_id))
        return Ok(JobView(job_id, stored.state, stored.answer, stored.failure_code))

    def cancel(
        self, client_account: str, member: str, job_id: str
    ) -> Result[JobView, UnknownJob | JobUnreadable]:
        """Cancel the job unless it has ended."""
        view = self.read(client_account, member, job_id)
        if view.is_error() or view.ok.state != "waiting":
            return view
        loaded = self._load(job_id)
        if loaded.is_error():
            return loaded
        loaded.ok.stored.state = "cancelled"
        self._store(job_id, loaded.ok)
        return self.read(client_account, member, job_id)

    def _work(self) -> None:
        while True:
            self._run(self._queue.get())

    def _run(self, job_id: str) -> None:
        loaded = self._load(job_id)
        if loaded.is_error() or loaded.ok.stored.state != "waiting":
            return
        stored = loaded.ok.stored
        result = self._run_job(job_id, stored.submission)
        if result.is_ok():
            stored.state = "done"
            stored.answer = result.ok
        else:
            stored.state = "failed"
            stored.failure_code = result.error.code
        self._store(job_id, loaded.ok)
        self._telemetry.log(
            events.JOB_FINISHED,
            job_id=job_id,
            client_account=stored.submission.client_account,
            state=stored.state,
        )

    def _load(self, job_id: str) -> Result[_Loaded, UnknownJob | JobUnreadable]:
        entry = self._kv.get(KEY_PREFIX + job_id)
        if entry.is_error():
            return Error(JobUnreadable(job_id))
        if entry.ok is None:
            return Error(UnknownJob(job_id))
        stored = msgspec.json.decode(entry.ok.value, type=_Stored)
        return Ok(_Loaded(stored, entry.ok.mod_revision))

    def _store(self, job_id: str, loaded: _Loaded) -> None:
        key = KEY_PREFIX + job_id
        compare = Compare(key, loaded.mod_revision)
        put = Put(key, msgspec.json.encode(loaded.stored))
        self._kv.commit(Transaction((compare,), (put,)))


def open_deferred(service: DeferredService) -> DeferredPort:
    """Return the port to ``service``."""
    return DeferredPort(service.submit, service.read, service.cancel)
