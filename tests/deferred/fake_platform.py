"""An in-memory key-value service with faults and leases, driven by a fake clock."""

from collections import deque

from expression import Error, Ok

from buckthornrock.store import (
    CommitConflict,
    CommitDone,
    CommitNotDone,
    CommitUnknown,
    Compare,
    Delete,
    KvEntry,
    KvPort,
    Put,
    Transaction,
)
from buckthornrock.store.errors import KvUnavailable, LeaseGone
from buckthornrock.store.kv_port import LeaseGrant

LEASE_MS = 10_000.0


class KilledError(BaseException):
    """The instance was killed in the middle of a call.

    A BaseException, so that no handler in the code under test catches it.
    """


class FakeKv:
    """Keys, revisions and leases, and the faults of the next calls.

    ``faults`` holds one fault for each of the next commits, all of which get an unknown
    result: "lost" is applied, "dropped" is not, "late" is applied by ``apply_late``.
    """

    def __init__(self):
        self.now_ms = 0.0
        self.is_down = False
        self.faults = deque()
        self.late = []
        self.entries = {}
        self.leases = {}
        self.revision = 1
        self.n_commits = 0
        self.n_reads = 0

    def advance(self, step_ms):
        self.now_ms += step_ms
        for lease_id, expires_ms in list(self.leases.items()):
            if expires_ms <= self.now_ms:
                self.drop_lease(lease_id)

    def drop_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        self.entries = {k: e for k, e in self.entries.items() if e.lease_id != lease_id}
        if lease_id:
            self.revision += 1

    def get(self, key):
        self.n_reads += 1
        if self.is_down:
            return Error(KvUnavailable("down"))
        return Ok(self.entries.get(key))

    def get_prefix(self, prefix):
        self.n_reads += 1
        if self.is_down:
            return Error(KvUnavailable("down"))
        found = [e for k, e in self.entries.items() if k.startswith(prefix)]
        return Ok(sorted(found, key=lambda entry: entry.key))

    def commit(self, transaction):
        self.n_commits += 1
        if self.is_down:
            return CommitNotDone("down")
        fault = self.faults.popleft() if self.faults else ""
        if fault == "dropped":
            return CommitUnknown("no answer")
        if fault == "late":
            self.late.append(transaction)
            return CommitUnknown("no answer")
        outcome = self.apply(transaction)
        return CommitUnknown("no answer") if fault == "lost" else outcome

    def apply_late(self):
        if self.late:
            self.apply(self.late.pop(0))

    def apply(self, transaction):
        for compare in transaction.compares:
            entry = self.entries.get(compare.key)
            if (entry.mod_revision if entry else 0) != compare.mod_revision:
                keys = [c.key for c in transaction.compares]
                found = tuple(self.entries[k] for k in keys if k in self.entries)
                return CommitConflict(found)
        leases = [w.lease_id for w in transaction.writes if isinstance(w, Put)]
        if any(lease_id and lease_id not in self.leases for lease_id in leases):
            return CommitNotDone("no such lease")
        self.revision += 1
        for write in transaction.writes:
            if isinstance(write, Delete):
                self.entries.pop(write.key, None)
                continue
            assert len(write.value) <= 1_000_000
            entry = KvEntry(write.key, write.value, self.revision, write.lease_id, b"w")
            self.entries[write.key] = entry
        return CommitDone(self.revision)

    def grant_lease(self, ttl_s):
        if self.is_down:
            return Error(KvUnavailable("down"))
        self.revision += 1
        self.leases[self.revision] = self.now_ms + ttl_s * 1000.0
        return Ok(LeaseGrant(self.revision, ttl_s))

    def keep_alive(self, lease_id):
        if self.is_down:
            return Error(KvUnavailable("down"))
        if lease_id not in self.leases:
            return Error(LeaseGone(lease_id))
        self.leases[lease_id] = self.now_ms + LEASE_MS
        return Ok(int(LEASE_MS / 1000))

    def revoke_lease(self, lease_id):
        self.drop_lease(lease_id)
        return Ok(None)


class Connection:
    """An instance's connection to the service; kills the instance at a chosen call.

    With ``is_applied`` the service still executes that call.
    """

    def __init__(self, kv):
        self.kv = kv
        self.n_calls_left = None
        self.is_applied = False

    def port(self):
        names = ("get", "get_prefix", "grant_lease", "keep_alive", "revoke_lease")
        calls = {name: self.guarded(getattr(self.kv, name)) for name in names}
        return KvPort(commit=self.guarded(self.kv.commit), **calls)

    def guarded(self, call):
        def guarded_call(*args, **kwargs):
            if self.n_calls_left is not None:
                self.n_calls_left -= 1
                if self.n_calls_left < 0:
                    if self.is_applied:
                        call(*args)
                    raise KilledError
            return call(*args)

        return guarded_call


class FakeLease:
    """Holds a lease as the lease holder of the platform package does."""

    def __init__(self, kv, port, name):
        self.kv, self.port, self.name = kv, port, name
        self.id, self.expires_ms, self.count, self.guard_revision = 0, 0.0, 0, 0

    def step(self):
        if self.id and not self.holds():
            self.id = 0
        sent_at_ms = self.kv.now_ms
        if self.id:
            renewed = self.port.keep_alive(self.id)
            if renewed.is_ok():
                self.expires_ms = sent_at_ms + LEASE_MS
            elif isinstance(renewed.error, LeaseGone):
                self.id = 0
            return
        grant = self.port.grant_lease(int(LEASE_MS / 1000))
        if grant.is_error():
            return
        key = f"instance/{self.name}/{grant.ok.lease_id}"
        put = Put(key, b"x", grant.ok.lease_id)
        outcome = self.port.commit(Transaction((Compare(key, 0),), (put,)))
        if isinstance(outcome, CommitDone):
            self.guard_key, self.guard_revision = key, outcome.revision
            self.id, self.expires_ms = grant.ok.lease_id, sent_at_ms + LEASE_MS
            self.count += 1

    def holds(self):
        return self.id != 0 and self.kv.now_ms < self.expires_ms

    def guard(self):
        return Compare(self.guard_key, self.guard_revision) if self.id else None
