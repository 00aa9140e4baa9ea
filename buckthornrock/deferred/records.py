"""What deferred work keeps in the key-value service, and under which keys.

A segment is a group of jobs that were accepted together. Its jobs never change; what
became of them is kept apart, in a small value that is only changed by comparison of
its revision.

==================  ===============================================================
``s/SEGMENT``       the jobs; gone once all have ended
``o/SEGMENT``       the outcomes; kept until the results expire
``i/SEGMENT``       earliest deadline and number of jobs; gone with the jobs
``c/SEGMENT``       the claim, bound to its holder's lease
``k/DIGEST``        job of an idempotency key
``b/BLOB/PART``     parts of a large or shared prompt
``q/BLOB``          the blob's pin: until when it is needed
``r/BATCH/PART``    results of jobs that were committed together
``t/MINUTE/NAME``   keys that may be deleted from that minute on
==================  ===============================================================
"""

import msgspec

PREFIX = "deferred/"
#: Largest value that is written; the service holds up to 1 MB.
MAX_VALUE_BYTES = 900_000
#: Hexadecimal digits of a segment's id that name its shard.
N_SHARD_DIGITS = 1
N_SHARDS = 16**N_SHARD_DIGITS
HOUR_MS = 3_600_000
#: What may be deleted is noted by such steps of time.
TRASH_STEP_MS = 60_000


class Job(msgspec.Struct, array_like=True, frozen=True):
    """One accepted job.

    Parameters
    ----------
    body : bytes
        The caller's JSON; empty if ``blob_id`` holds it.
    tail : bytes
        The prompt after the shared prefix, if ``prefix_id`` names one.
    blob_id, prefix_id : str
        Where a large body and a shared prefix of the prompt are kept.
    """

    client_account: str
    member: str
    profile: str
    work_class: str
    kind: str
    accepted_wall_ms: int
    deadline_wall_ms: int
    body: bytes
    tail: bytes = b""
    blob_id: str = ""
    prefix_id: str = ""


class Segment(msgspec.Struct, array_like=True, frozen=True):
    """Jobs that were accepted together, and the keys of their idempotency keys."""

    jobs: tuple[Job, ...]
    key_records: tuple[str, ...] = ()


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """What became of one job.

    Parameters
    ----------
    state : str
        ``waiting`` until the job has ended, then final.
    failure_code : str
        Why it failed.
    batch_id, offset, n_bytes : str, int, int
        Where the answer is.
    n_attempts : int
        Starts that were noted before they were made.
    """

    state: str = "waiting"
    failure_code: str = ""
    batch_id: str = ""
    offset: int = 0
    n_bytes: int = 0
    n_attempts: int = 0

    @property
    def is_final(self) -> bool:
        """Whether the job has ended; a final outcome never changes."""
        return self.state != "waiting"


class Outcomes(msgspec.Struct, array_like=True, frozen=True):
    """The outcomes of a segment's jobs, by index.

    ``n_losses`` counts the holders that vanished without releasing the segment.
    """

    jobs: tuple[Outcome, ...]
    n_losses: int = 0
    is_released: bool = False

    @property
    def are_final(self) -> bool:
        """Whether all jobs have ended."""
        return all(outcome.is_final for outcome in self.jobs)


class SegmentSummary(msgspec.Struct, array_like=True, frozen=True):
    """What a scan reads of a segment."""

    earliest_deadline_wall_ms: int
    n_jobs: int


class IdempotencyRecord(msgspec.Struct, array_like=True, frozen=True):
    """The job that an idempotency key stands for."""

    job_id: str
    digest: bytes


class Pin(msgspec.Struct, array_like=True, frozen=True):
    """Until when a blob is needed."""

    expires_wall_ms: int
    n_parts: int


class DeletionRecord(msgspec.Struct, array_like=True, frozen=True):
    """Keys to delete; those of a blob only if its pin has expired."""

    keys: tuple[str, ...]
    blob_id: str = ""


def segment_key(segment_id: str) -> str:
    """Return the key of a segment's jobs."""
    return f"{PREFIX}s/{segment_id}"


def outcomes_key(segment_id: str) -> str:
    """Return the key of a segment's outcomes."""
    return f"{PREFIX}o/{segment_id}"


def note_key(segment_id: str) -> str:
    """Return the key that scans find a segment by."""
    return f"{PREFIX}i/{segment_id}"


def claim_key(segment_id: str) -> str:
    """Return the key of a segment's claim."""
    return f"{PREFIX}c/{segment_id}"


def key_record_key(digest: str) -> str:
    """Return the key of an idempotency key's record."""
    return f"{PREFIX}k/{digest}"


def part_key(blob_id: str, index: int) -> str:
    """Return the key of one part of a blob."""
    return f"{PREFIX}b/{blob_id}/{index}"


def pin_key(blob_id: str) -> str:
    """Return the key of a blob's pin."""
    return f"{PREFIX}q/{blob_id}"


def batch_key(batch_id: str, index: int) -> str:
    """Return the key of one part of a batch of results."""
    return f"{PREFIX}r/{batch_id}/{index}"


def trash_prefix(wall_ms: int) -> str:
    """Return the prefix of what may be deleted from the minute of ``wall_ms`` on."""
    return f"{PREFIX}t/{wall_ms // TRASH_STEP_MS:010d}/"


def shard_prefix(kind: str, shard: int) -> str:
    """Return the prefix of one shard of the notes ("i") or claims ("c")."""
    return f"{PREFIX}{kind}/{shard:0{N_SHARD_DIGITS}x}"
