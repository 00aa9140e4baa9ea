"""Ids of deferred jobs.

An id contains the segment and the index in it, so that any instance finds the job with
one read, and a MAC over its owner, so that no other client account or member can use
it.
"""

import hashlib
import hmac
from collections.abc import Callable
from typing import NamedTuple

N_SEGMENT_DIGITS = 24
MAC_BYTES = 8


class JobAddress(NamedTuple):
    """Segment of a job and its index there."""

    segment_id: str
    index: int


class JobIds(NamedTuple):
    """Functions that make and parse ids with one secret.

    Parameters
    ----------
    make : callable
        ``make(address, client_account, member) -> str``.
    parse : callable
        ``parse(job_id, client_account, member) -> JobAddress | None``; None unless
        the job belongs to this client account and member.
    owner_tag : callable
        ``owner_tag(client_account, member) -> str``; part of blob ids and idempotency
        keys, so that owners don't share them.
    """

    make: Callable[[JobAddress, str, str], str]
    parse: Callable[[str, str, str], JobAddress | None]
    owner_tag: Callable[[str, str], str]


def open_job_ids(secret: str) -> JobIds:
    """Return the functions for ids that are authenticated with ``secret``."""

    def mac(*parts: str) -> str:
        # Length prefixes give ("a", "bc") and ("ab", "c") different MACs.
        raw = [part.encode() for part in parts]
        message = b"".join(len(one).to_bytes(4, "big") + one for one in raw)
        digest = hmac.new(secret.encode(), message, hashlib.sha256).digest()
        return digest[:MAC_BYTES].hex()

    def make(address: JobAddress, client_account: str, member: str) -> str:
        name = f"{address.segment_id}-{address.index}"
        return f"{name}-{mac('job', name, client_account, member)}"

    def parse(job_id: str, client_account: str, member: str) -> JobAddress | None:
        segment_id, _, rest = job_id.partition("-")
        index = rest.partition("-")[0]
        if len(segment_id) != N_SEGMENT_DIGITS or not _is_index(index):
            return None
        address = JobAddress(segment_id, int(index))
        expected = make(address, client_account, member)
        is_owner = hmac.compare_digest(expected.encode(), job_id.encode())
        return address if is_owner else None

    def owner_tag(client_account: str, member: str) -> str:
        return mac("owner", client_account, member)

    return JobIds(make, parse, owner_tag)


def _is_index(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 6
