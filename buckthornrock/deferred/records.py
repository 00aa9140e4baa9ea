"""Records of deferred work in the key-value service, and their keys.

A segment is a group of jobs that were accepted together. Its jobs never change. Their
outcomes are stored separately, in a small value that is changed only by
compare-and-swap on its revision.

==================  ===============================================================
``s/SEGMENT``       the jobs; deleted once all have ended
``o/SEGMENT``       the outcomes; kept until the results expire
``i/SEGMENT``       summary: earliest deadline, number of jobs; deleted with the jobs
``c/SEGMENT``       the claim, bound to its holder's lease
``k/DIGEST``        the job of an idempotency key
``b/BLOB/PART``     parts of a large or shared prompt
``q/BLOB``          the blob's pin: until when it is needed
``r/BATCH/PART``    results of jobs that were committed together
``t/MINUTE/NAME``   deletion record: keys that may be deleted from that minute on
==================  ===============================================================
"""

import msgspec

PREFIX = "deferred/"
#: Largest value that is written; the key-value service accepts up to 1 MB.
MAX_VALUE_BYTES = 900_000
#: Leading hexadecimal digits of a segment's id that give its shard.
N_SHARD_DIGITS = 1
N_SHARDS = 16**N_SHARD_DIGITS
HOUR_MS = 3_600_000
#: Time resolution of the keys of deletion records.
DELETION_STEP_MS = 60_000


class Job(msgspec.Struct, array_like=True, frozen=True):
    """One accepted job.

    Parameters
    ----------
    body : bytes
        The caller's JSON; empty if it is stored in the blob ``blob_id``.
    tail : bytes
        Rest of the prompt after the shared prefix, if ``prefix_id`` is set.
    blob_id, prefix_id : str
        Blobs of a large body and of the prompt's shared prefix; empty if unused.
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
    """Jobs that were accepted together.

    ``key_records`` are the keys of their idempotency records.
    """

    jobs: tuple[Job, ...]
    key_records: tuple[str, ...] = ()


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """Outcome of one job.

    Parameters
    ----------
    state : str
        ``waiting`` until the job has ended, then its final state.
    failure_code : str
        Why the job failed.
    batch_id, offset, n_bytes : str, int, int
        Location of the answer in a batch of results.
    n_attempts : int
        Starts that were recorded in advance; see ``retry_policy``.
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

    ``n_losses`` counts the holders that were lost without releasing the segment.
    """

    jobs: tuple[Outcome, ...]
    n_losses: int = 0
    is_released: bool = False

    @property
    def are_final(self) -> bool:
        """Whether all jobs have ended."""
        return all(outcome.is_final for outcome in self.jobs)


class SegmentSummary(msgspec.Struct, array_like=True, frozen=True):
    """What a scan reads about a segment."""

    earliest_deadline_wall_ms: int
    n_jobs: int


class IdempotencyRecord(msgspec.Struct, array_like=True, frozen=True):
    """The job of an idempotency key, and the digest of its body."""

    job_id: str
    digest: bytes


class Pin(msgspec.Struct, array_like=True, frozen=True):
    """Time until which a blob is needed, and its number of parts."""

    expires_wall_ms: int
    n_parts: int


class DeletionRecord(msgspec.Struct, array_like=True, frozen=True):
    """Keys to delete; if ``blob_id`` is set, only once its pin has expired."""

    keys: tuple[str, ...]
    blob_id: str = ""


def segment_key(segment_id: str) -> str:
    """Return the key of a segment's jobs."""
    return f"{PREFIX}s/{segment_id}"


def outcomes_key(segment_id: str) -> str:
    """Return the key of a segment's outcomes."""
    return f"{PREFIX}o/{segment_id}"


def summary_key(segment_id: str) -> str:
    """Return the key of a segment's summary, which scans read."""
    return f"{PREFIX}i/{segment_id}"


def claim_key(segment_id: str) -> str:
    """Return the key of a segment's claim."""
    return f"{PREFIX}c/{segment_id}"


def idempotency_record_key(digest: str) -> str:
    """Return the key of an idempotency record."""
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


def deletion_prefix(wall_ms: int) -> str:
    """Return the prefix of the deletion records of the minute of ``wall_ms``."""
    return f"{PREFIX}t/{wall_ms // DELETION_STEP_MS:010d}/"


def shard_prefix(kind: str, shard: int) -> str:
    """Return the key prefix of one shard of summaries ("i") or claims ("c")."""
    return f"{PREFIX}{kind}/{shard:0{N_SHARD_DIGITS}x}"
