"""Finds segments without a holder and claims them.

The segments are divided into shards by their ids. The rendezvous owner of a shard
looks at it once a period, so that the reads of the whole fleet do not grow with its
size; an instance with little to do looks at one more shard, at random.
"""

import random
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..runtime import rendezvous
from ..store import (
    CommitConflict,
    CommitDone,
    Compare,
    Delete,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from ..store.errors import KvUnavailable
from .claims import ClaimTerms
from .held_segments import HeldSegment
from .records import (
    N_SHARDS,
    Outcomes,
    Segment,
    SegmentSummary,
    claim_key,
    outcomes_key,
    segment_key,
    shard_prefix,
)

#: Claims that are renewed in one transaction.
MAX_CLAIMS = 30


class FoundSegment(NamedTuple):
    """A segment as a scan sees it; ``holder`` is empty if nobody claims it."""

    segment_id: str
    note: SegmentSummary
    holder: str


def owned_shards(self_id: str, live_ids: Sequence[str]) -> list[int]:
    """Return the shards that this instance looks at."""
    shards = range(N_SHARDS)
    return [s for s in shards if rendezvous.owner(_shard_name(s), live_ids) == self_id]


def shards_to_scan(
    self_id: str, live_ids: Sequence[str], is_idle: bool, rng: random.Random
) -> list[int]:
    """Return the shards of this period."""
    shards = owned_shards(self_id, live_ids)
    if is_idle:
        extra = rng.randrange(N_SHARDS)
        shards += [extra] if extra not in shards else []
    return shards


def scan_shard(kv: KvPort, shard: int) -> Result[list[FoundSegment], KvUnavailable]:
    """Return the segments of a shard, earliest deadline first."""
    # The notes are read first: a segment that is claimed meanwhile shows its claim.
    notes = kv.get_prefix(shard_prefix("i", shard))
    if notes.is_error():
        return notes
    claims = kv.get_prefix(shard_prefix("c", shard))
    return claims.map(lambda entries: _join(notes.ok, entries))


def adopt(
    kv: KvPort, segment_id: str, terms: ClaimTerms, claim_revision: int
) -> Result[HeldSegment | None, KvUnavailable]:
    """Claim a segment whose claim is as it was seen (0: absent).

    Returns
    -------
    Result
        None if another was faster or the segment has ended, so that no earlier try
        can take effect either; else an error.
    """
    entries = []
    for key in (segment_key(segment_id), outcomes_key(segment_id)):
        entry = kv.get(key)
        if entry.is_error() or entry.ok is None:
            return entry
        entries.append(entry.ok)
    segment = msgspec.msgpack.decode(entries[0].value, type=Segment)
    outcomes = msgspec.msgpack.decode(entries[1].value, type=Outcomes)
    is_loss = not outcomes.is_released and not claim_revision
    n_losses = outcomes.n_losses + is_loss
    changed = Outcomes(outcomes.jobs, n_losses)
    key = outcomes_key(segment_id)
    transaction = Transaction(
        (
            Compare(claim_key(segment_id), claim_revision),
            Compare(key, entries[1].mod_revision),
            terms.guard,
        ),
        (terms.put(segment_id), Put(key, msgspec.msgpack.encode(changed))),
    )
    outcome = kv.commit(transaction)
    if isinstance(outcome, CommitConflict):
        return Ok(None)
    if not isinstance(outcome, CommitDone):
        return Error(KvUnavailable(outcome.reason))
    held = HeldSegment(segment_id, segment, changed, outcome.revision, terms.epoch)
    return Ok(held)


def claim_again(
    kv: KvPort, segments: Sequence[HeldSegment], terms: ClaimTerms
) -> tuple[list[HeldSegment], list[HeldSegment]]:
    """Claim segments anew after the lease was lost.

    Returns
    -------
    (list of HeldSegment, list of HeldSegment)
        Those that are held again, and those that another instance holds now. A
        segment whose commit got no answer, or whose old claim is still there, is in
        neither.
    """
    held, lost = [], []
    holder = terms.holder.encode()
    for start in range(0, len(segments), MAX_CLAIMS):
        group = segments[start : start + MAX_CLAIMS]
        if _claim(kv, group, terms):
            held += group
            continue
        for segment in group:
            if _claim(kv, (segment,), terms):
                held.append(segment)
                continue
            claim = kv.get(claim_key(segment.segment_id))
            if claim.is_ok() and claim.ok and claim.ok.lease_id == terms.lease_id:
                held.append(segment)
            elif claim.is_ok() and claim.ok and claim.ok.value != holder:
                lost.append(segment)
    return held, lost


def _claim(kv: KvPort, group: Sequence[HeldSegment], terms: ClaimTerms) -> bool:
    compares = [Compare(claim_key(segment.segment_id), 0) for segment in group]
    writes = [terms.put(segment.segment_id) for segment in group]
    transaction = Transaction((*compares, terms.guard), tuple(writes))
    return isinstance(kv.commit(transaction), CommitDone)


def release(kv: KvPort, segment: HeldSegment) -> bool:
    """Give a segment back, so that another instance takes it at once."""
    key = outcomes_key(segment.segment_id)
    released = msgspec.structs.replace(segment.outcomes, is_released=True)
    transaction = Transaction(
        (Compare(key, segment.revision),),
        (
            Put(key, msgspec.msgpack.encode(released)),
            Delete(claim_key(segment.segment_id)),
        ),
    )
    return isinstance(kv.commit(transaction), CommitDone)


def _join(notes: list[KvEntry], claims: list[KvEntry]) -> list[FoundSegment]:
    holders = {_segment_id(entry): entry.value.decode() for entry in claims}
    found = [
        FoundSegment(
            segment_id := _segment_id(entry),
            msgspec.msgpack.decode(entry.value, type=SegmentSummary),
            holders.get(segment_id, ""),
        )
        for entry in notes
    ]
    return sorted(found, key=lambda one: one.note.earliest_deadline_wall_ms)


def _segment_id(entry: KvEntry) -> str:
    return entry.key.rpartition("/")[2]


def _shard_name(shard: int) -> bytes:
    return b"deferred-shard-%d" % shard
