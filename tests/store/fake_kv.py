"""In-memory fakes of the key-value service, with a clock that the test controls."""

from expression import Error, Ok

from buckthornrock.runtime import Clock
from buckthornrock.standins.kv import KvStandin
from buckthornrock.store.errors import KvUnavailable, LeaseGone
from buckthornrock.store.kv_http import CallFailed
from buckthornrock.store.kv_port import (
    LEASE_GONE,
    CommitConflict,
    CommitDone,
    CommitNotDone,
    KvEntry,
    KvPort,
    LeaseGrant,
)


class FakeTime:
    """Clock that advances only by the test or by a caller that sleeps."""

    def __init__(self):
        self.now_ms = 0.0
        self._due = []

    def clock(self):
        return Clock(lambda: self.now_ms, lambda: int(self.now_ms), self.advance)

    def call_at(self, at_ms, function):
        self._due.append((at_ms, function))

    def advance(self, duration_ms):
        self.now_ms += duration_ms
        due = [item for item in self._due if item[0] <= self.now_ms]
        self._due = [item for item in self._due if item[0] > self.now_ms]
        for _, function in sorted(due, key=lambda item: item[0]):
            function()


class FakeHttp:
    """Replaces ``KvHttp``: calls the stand-in directly, without sockets.

    ``fates`` are the outcomes of the next calls, ``rest`` that of all later ones:
    "answer", "unsent", "ignored" (received without effect), "late" (takes effect after
    a delay), "overtaken" (after another write), "lost" (takes effect, but the answer is
    lost) and "lost_then_overtaken".
    """

    def __init__(self, time, standin=None):
        self.time = time
        self.standin = standin or KvStandin()
        self.fates = []
        self.rest = "answer"
        self.n_applied = {}

    def call(self, kind, access, path, body, deadline_at_ms):
        fate, argument = self.fates.pop(0) if self.fates else (self.rest, None)
        if fate == "unsent":
            return Error(CallFailed("NewConnectionError", was_sent=False))
        if fate == "ignored":
            return Error(CallFailed("ReadTimeoutError", was_sent=True))
        if fate == "late":
            at_ms = self.time.now_ms + argument
            self.time.call_at(at_ms, lambda: self._perform(path, body))
            return Error(CallFailed("ReadTimeoutError", was_sent=True))
        if fate == "overtaken":
            argument()
        answer = self._perform(path, body)
        if "error" in answer:
            refused = CallFailed(LEASE_GONE, was_sent=True, is_refused=True)
            return Error(refused) if fate == "answer" else Error(CallFailed("?", True))
        if fate in ("lost", "lost_then_overtaken"):
            if argument:
                argument()
            return Error(CallFailed("status 503", was_sent=True))
        return Ok(answer)

    def _perform(self, path, body):
        answer = self.standin._perform(path, body)
        if path == "/v3/kv/txn" and answer.get("succeeded"):
            key = body["success"][0]["request_put"]["value"]
            self.n_applied[key] = self.n_applied.get(key, 0) + 1
        return answer


class FakeLeases:
    """Leases and guard keys as the service keeps them, behind a ``KvPort``."""

    def __init__(self, time):
        self.time = time
        self.fate = "answer"
        self.delays_ms = (0.0, 0.0)
        self.due_ms = {}
        self.guards = {}
        self._next_id = 1
        self._revision = 1

    def port(self):
        return KvPort(
            get=self._get,
            get_prefix=lambda prefix: Ok([]),
            commit=self._commit,
            grant_lease=self._grant,
            keep_alive=self._keep_alive,
            revoke_lease=self._revoke,
        )

    def exists(self, lease_id):
        return self.due_ms.get(lease_id, 0.0) > self.time.now_ms

    def guard_holds(self, compare):
        lease_id, revision = self.guards.get(compare.key, (0, 0))
        return self.exists(lease_id) and revision == compare.mod_revision

    def _call(self, function):
        before_ms, after_ms = self.delays_ms
        if self.fate == "refuse":
            return Error(KvUnavailable("down"))
        self.time.advance(before_ms)
        answer = function()
        self.time.advance(after_ms)
        return Error(KvUnavailable("lost")) if self.fate == "lose" else answer

    def _grant(self, ttl_s):
        def grant():
            self._next_id += 1
            self.due_ms[self._next_id] = self.time.now_ms + ttl_s * 1000.0
            return Ok(LeaseGrant(self._next_id, ttl_s))

        return self._call(grant)

    def _keep_alive(self, lease_id):
        def renew():
            if not self.exists(lease_id):
                return Error(LeaseGone(lease_id))
            self.due_ms[lease_id] = self.time.now_ms + 10_000.0
            return Ok(10)

        return self._call(renew)

    def _revoke(self, lease_id):
        return self._call(lambda: Ok(self.due_ms.pop(lease_id, None) and None))

    def _get(self, key):
        lease_id, revision = self.guards.get(key, (0, 0))
        if not self.exists(lease_id):
            return self._call(lambda: Ok(None))
        return self._call(lambda: Ok(KvEntry(key, b"", revision, lease_id, b"")))

    def _commit(self, transaction):
        def commit():
            (put,) = transaction.writes
            (compare,) = transaction.compares
            lease_id, revision = self.guards.get(put.key, (0, 0))
            found = revision if self.exists(lease_id) else 0
            if found != compare.mod_revision or not self.exists(put.lease_id):
                return CommitConflict(())
            self._revision += 1
            self.guards[put.key] = (put.lease_id, self._revision)
            return CommitDone(self._revision)

        outcome = self._call(commit)
        return outcome if isinstance(outcome, tuple) else CommitNotDone("down")
