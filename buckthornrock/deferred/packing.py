"""Converts submissions to stored jobs and back.

Prompt prefixes that jobs of one client account and member share, and large bodies, are
stored as blobs outside the segment.
"""

import hashlib
import os
from typing import NamedTuple

import msgspec

from .ids import JobIds
from .port import JobSubmission
from .records import HOUR_MS, MAX_VALUE_BYTES, Job

#: Smallest shared prefix that is stored as a blob.
MIN_PREFIX_BYTES = 1_024
#: The body of a job larger than this is stored as a blob of its own.
MAX_INLINE_BYTES = 100_000
DIGEST_BYTES = 16


class Blob(NamedTuple):
    """Content that is stored outside the segment."""

    blob_id: str
    content: bytes


class PackedJob(NamedTuple):
    """A job, the blobs that it needs, and its idempotency key if there is one.

    ``key_digest`` identifies the idempotency key's record. ``body_digest`` shows
    whether the key was used with another body.
    """

    job: Job
    blobs: tuple[Blob, ...]
    key_digest: str
    body_digest: bytes

    @property
    def needed_until_wall_ms(self) -> int:
        """Time until which the blobs are needed."""
        return self.job.deadline_wall_ms + HOUR_MS


def pack(submission: JobSubmission, ids: JobIds, wall_ms: int) -> PackedJob:
    """Return the stored form of ``submission``."""
    owner = (submission.client_account, submission.member)
    body, prefix, tail = _split_prompt(submission)
    raw = msgspec.json.encode(body)
    blobs = []
    prefix_id = blob_id = ""
    if prefix:
        prefix_id = f"p{ids.owner_tag(*owner)}{_digest(prefix).hex()}"
        blobs.append(Blob(prefix_id, prefix))
    if len(raw) + len(tail) > MAX_INLINE_BYTES:
        blob_id = f"x{os.urandom(DIGEST_BYTES).hex()}"
        blobs.append(Blob(blob_id, msgspec.msgpack.encode((raw, tail))))
        raw = tail = b""
    job = Job(
        client_account=submission.client_account,
        member=submission.member,
        profile=submission.profile,
        work_class=submission.work_class,
        kind=submission.kind,
        accepted_wall_ms=wall_ms,
        deadline_wall_ms=submission.deadline_wall_ms,
        body=raw,
        tail=tail,
        blob_id=blob_id,
        prefix_id=prefix_id,
    )
    key = submission.idempotency_key
    key_digest = f"{ids.owner_tag(*owner)}{_digest(key.encode()).hex()}" if key else ""
    return PackedJob(job, tuple(blobs), key_digest, _body_digest(submission))


def unpack(job: Job, prefix: bytes, blob: bytes) -> JobSubmission:
    """Return the submission of ``job``, without its idempotency key."""
    raw, tail = job.body, job.tail
    if job.blob_id:
        raw, tail = msgspec.msgpack.decode(blob, type=tuple[bytes, bytes])
    body = msgspec.json.decode(raw)
    if job.prefix_id:
        body["prompt"] = (prefix + tail).decode()
    return JobSubmission(
        client_account=job.client_account,
        member=job.member,
        profile=job.profile,
        work_class=job.work_class,
        body=body,
        kind=job.kind,
        deadline_wall_ms=job.deadline_wall_ms,
        idempotency_key="",
    )


def split_value(content: bytes) -> tuple[bytes, ...]:
    """Split ``content`` into values of allowed size; at least one, even if empty."""
    starts = range(0, max(1, len(content)), MAX_VALUE_BYTES)
    return tuple(content[start : start + MAX_VALUE_BYTES] for start in starts)


def _split_prompt(submission: JobSubmission) -> tuple[dict, bytes, bytes]:
    body = submission.body
    prompt = body.get("prompt")
    if submission.kind != "completion" or not isinstance(prompt, str):
        return body, b"", b""
    raw = prompt.encode()
    levels = [level for level in body.get("prefix_levels", ()) if level <= len(raw)]
    end = max(levels, default=0)
    if end < MIN_PREFIX_BYTES:
        return body, b"", b""
    rest = {key: value for key, value in body.items() if key != "prompt"}
    return rest, raw[:end], raw[end:]


def _body_digest(submission: JobSubmission) -> bytes:
    parts = (
        submission.kind,
        submission.profile,
        submission.work_class,
        submission.body,
    )
    return _digest(msgspec.json.encode(parts, order="sorted"))


def _digest(raw: bytes) -> bytes:
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).digest()
