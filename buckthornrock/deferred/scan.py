"""Finds segments without a holder and claims them.

Segments are sharded by id. The owner of a shard, chosen by rendezvous hashing, scans
it once per period, so that the fleet's read rate does not grow with the number of
instances. An instance with spare capacity also scans one random shard.
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
    CommitOutcome,
    Compare,
    Delete,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from ..store.errors import KvUnavailable
from .claims import ClaimLease
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

#: Claims that are made again in one transaction.
MAX_CLAIMS_PER_COMMIT = 30


class ScannedSegment(NamedTuple):
    """A segment as read by a scan; ``holder`` is empty if there is no claim."""

    segment_id: str
    summary: SegmentSummary
    holder: str


def owned_shards(self_id: str, live_ids: Sequence[str]) -> list[int]:
    """Return the shards that this instance owns."""
    shards = range(N_SHARDS)
    return [s for s in shards if rendezvous.owner(_shard_name(s), live_ids) == self_id]


def shards_to_scan(
    self_id: str, live_ids: Sequence[str], is_idle: bool, rng: random.Random
) -> list[int]:
    """Return the shards to scan in this period."""
    shards = owned_shards(self_id, live_ids)
    if is_idle:
        extra = rng.randrange(N_SHARDS)
        shards += [extra] if extra not in shards else []
    return shards


def scan_shard(kv: KvPort, shard: int) -> Result[list[ScannedSegment], KvUnavailable]:
    """Return the segments of a shard, earliest deadline first."""
    # Summaries are read before claims, so that a segment that is claimed between the
    # two reads is seen with its claim.
    summaries = kv.get_prefix(shard_prefix("i", shard))
    if summaries.is_error():
        return summaries
    claims = kv.get_prefix(shard_prefix("c", shard))
    return claims.map(lambda entries: _join_claims(summaries.ok, entries))


def take_over(
    kv: KvPort, segment_id: str, claim_lease: ClaimLease, claim_revision: int
) -> Result[HeldSegment | None, KvUnavailable]:
    """Claim a segment if its claim is still at ``claim_revision`` (0: no claim).

    A segment without a claim that was not released has lost its holder; the outcomes
    count that.

    Returns
    -------
    Result
        The held segment. None if another instance was faster or the segment has
        ended; no earlier try of this call can take effect then. An error if the
        call failed or its result is unknown.
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
            claim_lease.guard,
        ),
        (claim_lease.put(segment_id), Put(key, msgspec.msgpack.encode(changed))),
    )
    outcome = kv.commit(transaction)
    if isinstance(outcome, CommitConflict):
        return Ok(None)
    if not isinstance(outcome, CommitDone):
        return Error(KvUnavailable(outcome.reason))
    held = HeldSegment(
        segment_id, segment, changed, outcome.revision, claim_lease.epoch
    )
    return Ok(held)


class Reclaimed(NamedTuple):
    """What became of segments that were to be claimed again.

    ``changed`` are segments that nobody holds, but whose outcomes another instance
    changed or deleted: they may have ended. A segment is in no list if its commit got
    no response or if the claim under the old lease still exists.
    """

    held: list[HeldSegment]
    lost: list[HeldSegment]
    changed: list[HeldSegment]


def reclaim(
    kv: KvPort, segments: Sequence[HeldSegment], claim_lease: ClaimLease
) -> Reclaimed:
    """Claim segments again after the lease was lost and a new one was granted.

    Only segments whose outcomes are as this instance knows them are claimed.
    """
    reclaimed = Reclaimed([], [], [])
    for start in range(0, len(segments), MAX_CLAIMS_PER_COMMIT):
        group = segments[start : start + MAX_CLAIMS_PER_COMMIT]
        if isinstance(_claim(kv, group, claim_lease), CommitDone):
            reclaimed.held.extend(group)
            continue
        for segment in group:
            _reclaim_one(kv, segment, claim_lease, reclaimed)
    return reclaimed


def _reclaim_one(
    kv: KvPort, segment: HeldSegment, claim_lease: ClaimLease, reclaimed: Reclaimed
) -> None:
    outcome = _claim(kv, (segment,), claim_lease)
    if isinstance(outcome, CommitDone):
        reclaimed.held.append(segment)
        return
    claim = kv.get(claim_key(segment.segment_id))
    if claim.is_error():
        return
    if claim.ok is None:
        if isinstance(outcome, CommitConflict) and _has_changed(segment, outcome):
            reclaimed.changed.append(segment)
        return
    if claim.ok.lease_id == claim_lease.lease_id:
        reclaimed.held.append(segment)
    elif claim.ok.value != claim_lease.holder.encode():
        reclaimed.lost.append(segment)


def _has_changed(segment: HeldSegment, conflict: CommitConflict) -> bool:
    revisions = {entry.key: entry.mod_revision for entry in conflict.entries}
    return revisions.get(outcomes_key(segment.segment_id)) != segment.revision


def _claim(
    kv: KvPort, group: Sequence[HeldSegment], claim_lease: ClaimLease
) -> CommitOutcome:
    compares = [Compare(claim_key(segment.segment_id), 0) for segment in group]
    compares += [Compare(outcomes_key(s.segment_id), s.revision) for s in group]
    writes = [claim_lease.put(segment.segment_id) for segment in group]
    transaction = Transaction((*compares, claim_lease.guard), tuple(writes))
    return kv.commit(transaction)


def release(kv: KvPort, segment: HeldSegment) -> bool:
    """Release a segment, so that another instance can claim it at once.

    Returns whether the release was committed.
    """
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


def _join_claims(
    summaries: list[KvEntry], claims: list[KvEntry]
) -> list[ScannedSegment]:
    holders = {_segment_id(entry): entry.value.decode() for entry in claims}
    found = [
        ScannedSegment(
            segment_id := _segment_id(entry),
            msgspec.msgpack.decode(entry.value, type=SegmentSummary),
            holders.get(segment_id, ""),
        )
        for entry in summaries
    ]
    return sorted(found, key=lambda one: one.summary.earliest_deadline_wall_ms)


def _segment_id(entry: KvEntry) -> str:
    return entry.key.rpartition("/")[2]


def _shard_name(shard: int) -> bytes:
    return b"deferred-shard-%d" % shard
