"""Failure detector: decides which instances are live, suspected, dead or departed.

It does no I/O: the caller passes in the time and the random source and sends the
probes. In each period every instance probes a fixed number of successors on a ring of
hashed ids and one random instance, so the cost of a period does not depend on the size
of the fleet. Records spread by gossip, and anti-entropy compares the digests of buckets
of them.
"""

import hashlib
import random
from collections.abc import Iterable
from typing import NamedTuple

from msgspec.structs import replace

from ..wire.membership_messages import MemberRecord

N_SUCCESSORS = 2
N_CANDIDATES_PER_PERIOD = 3
N_BUCKETS = 16
DIGEST_BYTES = 4
#: Consecutive failed probes after which an instance is suspected.
N_FAILURES_TO_SUSPECT = 2
SUSPICION_MS = 2_000.0
#: How long the records of dead and departed instances are kept.
RETENTION_MS = 600_000.0
#: Shortest time between two probes of dead instances, which find out whether a network
#: partition has healed.
DEAD_PROBE_PERIOD_MS = 5_000.0

_STATE_PRECEDENCE = {"live": 0, "suspect": 1, "dead": 2, "left": 3}


class ProbeTarget(NamedTuple):
    """An instance to send a heartbeat to."""

    instance_id: str
    address: str


class Detector:
    """Membership records of all known instances.

    Attributes
    ----------
    self_record : MemberRecord
        Record of this instance. Its version rises when others hold a record that
        supersedes it, such as a suspicion.
    """

    def __init__(self, self_record: MemberRecord) -> None:
        self.self_record = self_record
        self._records = {self_record.instance_id: self_record}
        self._changed_at_ms: dict[str, float] = {}
        self._n_failures: dict[str, int] = {}
        self._candidates: dict[str, str] = {}
        self._last_dead_probe_ms = 0.0
        self._live: tuple[MemberRecord, ...] = (self_record,)
        self._ring: list[str] = []
        self._digests: bytes | None = None

    def merge(
        self, records: Iterable[MemberRecord], now_ms: float
    ) -> list[MemberRecord]:
        """Store the records that supersede known ones; return those that did.

        A record of this instance that supersedes its own one, for example because
        others suspect it, is refuted: the own record, with a higher version, is
        returned instead.
        """
        changed: list[MemberRecord] = []
        for record in records:
            if record.instance_id == self.self_record.instance_id:
                changed += self._refute(record, now_ms)
            elif self._supersedes(record):
                self._store(record, now_ms)
                changed.append(record)
        return changed

    def leave(self, now_ms: float) -> MemberRecord:
        """Mark this instance as left; return its record."""
        record = self.self_record
        self.self_record = replace(record, state="left", version=record.version + 1)
        self._store(self.self_record, now_ms)
        return self.self_record

    def set_candidates(self, targets: Iterable[ProbeTarget]) -> None:
        """Set the instances that the instance list and the settings name."""
        own_id = self.self_record.instance_id
        self._candidates = {t.instance_id: t.address for t in targets}
        self._candidates.pop(own_id, None)

    def plan(self, now_ms: float, rng: random.Random) -> list[ProbeTarget]:
        """Return the instances to probe in this period."""
        others = [id_ for id_ in self._ring if id_ != self.self_record.instance_id]
        chosen = self._successors()
        rest = [id_ for id_ in others if id_ not in chosen]
        if rest:
            chosen.append(rng.choice(rest))
        targets = [ProbeTarget(id_, self._records[id_].address) for id_ in chosen]
        return targets + self._plan_rejoin_probes(now_ms, rng)

    def on_reply(self, instance_id: str) -> None:
        """Record that a probe was answered."""
        self._n_failures.pop(instance_id, None)

    def on_failure(self, instance_id: str, now_ms: float) -> list[MemberRecord]:
        """Record a failed probe; return the changed record if that raises suspicion."""
        record = self._records.get(instance_id)
        if record is None or record.state != "live":
            return []
        n_failures = self._n_failures.get(instance_id, 0) + 1
        self._n_failures[instance_id] = n_failures
        if n_failures < N_FAILURES_TO_SUSPECT:
            return []
        return self.merge([replace(record, state="suspect")], now_ms)

    def expire(self, now_ms: float) -> list[MemberRecord]:
        """Declare long-suspected instances dead; drop records past their retention."""
        changed: list[MemberRecord] = []
        for record in list(self._records.values()):
            age_ms = now_ms - self._changed_at_ms.get(record.instance_id, now_ms)
            if record.state == "suspect" and age_ms >= SUSPICION_MS:
                changed += self.merge([replace(record, state="dead")], now_ms)
            elif record.state in ("dead", "left") and age_ms >= RETENTION_MS:
                self._forget(record)
        return changed

    def live(self) -> tuple[MemberRecord, ...]:
        """Return the records of live and suspected instances, sorted by id."""
        return self._live

    def n_known(self) -> int:
        """Return the number of known instances, without those that have left.

        Instances that only the list or the settings name count too.
        """
        staying = {id_ for id_, r in self._records.items() if r.state != "left"}
        unseen = self._candidates.keys() - self._records.keys()
        return max(1, len(staying) + len(unseen))

    def record(self, instance_id: str) -> MemberRecord | None:
        """Return the record of an instance, or None."""
        return self._records.get(instance_id)

    def address_of(self, instance_id: str) -> str | None:
        """Return the address of an instance, or None if it is unknown."""
        record = self._records.get(instance_id)
        if record is None:
            return self._candidates.get(instance_id)
        return record.address

    def digests(self) -> bytes:
        """Return the digests of all buckets, concatenated."""
        if self._digests is None:
            self._digests = b"".join(map(self._digest_of, range(N_BUCKETS)))
        return self._digests

    def differing(self, digests: bytes) -> tuple[int, ...]:
        """Return the buckets whose digests differ from a peer's."""
        own = self.digests()
        return tuple(
            bucket
            for bucket in range(N_BUCKETS)
            if _digest_in(own, bucket) != _digest_in(digests, bucket)
        )

    def records_in(self, buckets: Iterable[int]) -> tuple[MemberRecord, ...]:
        """Return the live records of some buckets, sorted by id.

        Records of dead and departed instances are left out; they spread only by gossip
        and as corrections. If they were compared too, instances that still keep such a
        record would give it back to those that have dropped it, and it would never
        disappear from the fleet.
        """
        wanted = set(buckets)
        return tuple(r for r in self._live if _bucket_of(r.instance_id) in wanted)

    def newer_than(
        self, records: Iterable[MemberRecord], buckets: Iterable[int]
    ) -> tuple[MemberRecord, ...]:
        """Return live records that ``records`` lacks, and newer ones than it has."""
        theirs = {record.instance_id: record for record in records}
        lacking = [r for r in self.records_in(buckets) if r.instance_id not in theirs]
        own = (self._records.get(instance_id) for instance_id in theirs)
        newer = [
            r for r in own if r and _precedence(r) > _precedence(theirs[r.instance_id])
        ]
        return tuple(lacking + newer)

    def _refute(self, record: MemberRecord, now_ms: float) -> list[MemberRecord]:
        own = self.self_record
        if _precedence(record) <= _precedence(own) or own.state == "left":
            return []
        self.self_record = replace(own, state="live", version=record.version + 1)
        self._store(self.self_record, now_ms)
        return [self.self_record]

    def _supersedes(self, record: MemberRecord) -> bool:
        known = self._records.get(record.instance_id)
        if known is None:
            # A dead or departed instance that is unknown needs no record.
            return record.state in ("live", "suspect")
        return _precedence(record) > _precedence(known)

    def _store(self, record: MemberRecord, now_ms: float) -> None:
        self._records[record.instance_id] = record
        self._changed_at_ms[record.instance_id] = now_ms
        self._n_failures.pop(record.instance_id, None)
        self._refresh()

    def _forget(self, record: MemberRecord) -> None:
        del self._records[record.instance_id]
        self._changed_at_ms.pop(record.instance_id, None)
        self._refresh()

    def _refresh(self) -> None:
        live = [r for r in self._records.values() if r.state in ("live", "suspect")]
        self._live = tuple(sorted(live, key=lambda record: record.instance_id))
        ids = [record.instance_id for record in self._live]
        self._ring = sorted(ids, key=_ring_position)
        self._digests = None

    def _successors(self) -> list[str]:
        own_id = self.self_record.instance_id
        if own_id not in self._ring:
            return []
        start = self._ring.index(own_id) + 1
        in_order = self._ring[start:] + self._ring[: start - 1]
        return in_order[:N_SUCCESSORS]

    def _plan_rejoin_probes(
        self, now_ms: float, rng: random.Random
    ) -> list[ProbeTarget]:
        unknown = [
            ProbeTarget(id_, address)
            for id_, address in self._candidates.items()
            if self._is_unknown_at(id_, address)
        ]
        if len(unknown) > N_CANDIDATES_PER_PERIOD:
            unknown = rng.sample(unknown, N_CANDIDATES_PER_PERIOD)
        if now_ms - self._last_dead_probe_ms < DEAD_PROBE_PERIOD_MS:
            return unknown
        dead = [r for r in self._records.values() if r.state == "dead"]
        if dead:
            self._last_dead_probe_ms = now_ms
            record = rng.choice(dead)
            unknown.append(ProbeTarget(record.instance_id, record.address))
        return unknown

    def _is_unknown_at(self, instance_id: str, address: str) -> bool:
        record = self._records.get(instance_id)
        if record is None:
            return True
        # After a restart an instance may have another address than before.
        return record.state in ("dead", "left") and record.address != address

    def _digest_of(self, bucket: int) -> bytes:
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for record in self.records_in((bucket,)):
            digest.update(f"{record.instance_id}\0{_precedence(record)}\0".encode())
        return digest.digest()


def _precedence(record: MemberRecord) -> tuple[int, int]:
    return record.version, _STATE_PRECEDENCE.get(record.state, 0)


def _ring_position(instance_id: str) -> bytes:
    return hashlib.blake2b(instance_id.encode(), digest_size=8).digest()


def _bucket_of(instance_id: str) -> int:
    return _ring_position(instance_id)[-1] % N_BUCKETS


def _digest_in(digests: bytes, bucket: int) -> bytes:
    return digests[bucket * DIGEST_BYTES : (bucket + 1) * DIGEST_BYTES]
