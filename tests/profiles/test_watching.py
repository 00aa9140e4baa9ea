"""A watch on a service that has compacted old revisions."""

import random
from types import SimpleNamespace

from expression import Ok

from buckthornrock.profiles.stored import KEY_PREFIX
from buckthornrock.profiles.watching import ProfileWatch
from buckthornrock.store import KvEntry, WatchBatch
from buckthornrock.telemetry import Telemetry, open_log, open_metrics

#: The newest change of a profile is older than the compacted revision.
COMPACTED_REVISION = 1_000
OLD_REVISION = 10


class CompactedService:
    """Ends a watch that starts at a compacted revision, as etcd does."""

    def __init__(self):
        self.revision = OLD_REVISION
        self.n_established = 0
        self.later_revisions = []

    def entry(self):
        return KvEntry(KEY_PREFIX + "default", b"", self.revision, 0, b"")

    def get_prefix(self, prefix):
        return Ok([self.entry()])

    def watch(self, prefix, start_revision):
        if 0 < start_revision <= COMPACTED_REVISION:
            return
        self.n_established += 1
        # A change between the first read and the start of the watch.
        self.revision = COMPACTED_REVISION + 1
        yield WatchBatch(self.revision, (), ())
        for revision in self.later_revisions:
            self.revision = revision
            yield WatchBatch(revision, (self.entry(),), ())


def test_watch_is_established_and_misses_nothing():
    service = CompactedService()
    service.later_revisions = [COMPACTED_REVISION + 5]
    seen = []
    view = SimpleNamespace(instance_id="i0")
    watch = ProfileWatch(
        service,
        SimpleNamespace(reconcile=lambda name, entry: seen.append(entry.mod_revision)),
        lambda: ("default",),
        SimpleNamespace(live=lambda: (view,), self_view=lambda: view),
        lambda: 0.0,
        Telemetry(open_log(None), open_metrics("", 0, "")),
        random.Random(1),
        lambda: 1,
    )
    watch.step()
    assert service.n_established == 1
    assert seen == [OLD_REVISION, COMPACTED_REVISION + 1, COMPACTED_REVISION + 5]
