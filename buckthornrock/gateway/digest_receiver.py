"""Applies the state that peers report in their digests. Does no I/O."""

from ..catalog.change_log import ChangeWindow
from ..catalog.upstreams import UpstreamChange
from ..wire.digests import Digest, EntryChange, StoreCalls
from .account_quotas import AccountQuotas
from .crash_gossip import CrashGossip
from .digest_entries import decode_times, decode_upstream, decode_works
from .fleet_state import FleetState
from .relays import RelayTopology
from .store_contact import LOST_AFTER_MS
from .store_watch import FailingWatchers
from .upstream_gossip import UpstreamGossip


class DigestReceiver:
    """Passes each part of a digest to what holds that part of the state."""

    def __init__(
        self,
        fleet_state: FleetState,
        topology: RelayTopology,
        upstream_gossip: UpstreamGossip,
        crash_gossip: CrashGossip,
        failing_watchers: FailingWatchers,
        quotas: AccountQuotas | None,
    ) -> None:
        self._fleet_state = fleet_state
        self._topology = topology
        self._upstream_gossip = upstream_gossip
        self._crash_gossip = crash_gossip
        self._failing_watchers = failing_watchers
        self._quotas = quotas

    def apply(self, digest: Digest, now_ms: float) -> None:
        """Apply a digest that is newer than its sender's last."""
        fleet_state = self._fleet_state
        if digest.instance_id in self._topology.sources():
            self._apply_works(digest, now_ms)
            self._apply_quota(digest)
        fleet_state.wanted_versions.on_ages(
            digest.weights, digest.older_weights, digest.instance_id
        )
        fleet_state.configuration.on_removed_isolated_accounts(
            digest.removed_isolated_accounts, digest.instance_id
        )
        self._upstream_gossip.apply(digest, now_ms)
        self._crash_gossip.apply(digest)
        self._failing_watchers.on_digest(
            digest.instance_id, digest.store_calls is StoreCalls.FAILING, now_ms
        )
        self._follow(digest)

    def _apply_works(self, digest: Digest, now_ms: float) -> None:
        loads, instance_id = self._fleet_state.loads, digest.instance_id
        works = decode_works(digest.works)
        loads.on_digest(instance_id, works, now_ms, digest.age_ms)
        if digest.prefill_times:
            times = decode_times(digest.prefill_times)
            loads.times.on_report(instance_id, times, now_ms)

    def _apply_quota(self, digest: Digest) -> None:
        if self._quotas is None or digest.quota is None:
            return
        self._quotas.on_counters(
            digest.instance_id, digest.incarnation, digest.scope, digest.quota
        )

    def _follow(self, digest: Digest) -> None:
        """Apply the changes of upstreams, and how long ago the store confirmed them."""
        fleet_state = self._fleet_state
        if digest.configuration_version > fleet_state.configuration.version:
            # The state at the digest's revision is only complete with that version.
            return
        is_listed = digest.base_revision >= 0
        base_revision = digest.base_revision if is_listed else digest.revision
        changes = tuple(self._decode_change(change) for change in digest.changes)
        window = ChangeWindow(base_revision, changes)
        is_confirmed = 0 <= digest.store_age_ms <= LOST_AFTER_MS
        if fleet_state.upstreams.follow(window, digest.revision) and is_confirmed:
            fleet_state.store_contact.on_confirmed(digest.store_age_ms)

    def _decode_change(self, change: EntryChange) -> UpstreamChange:
        """Return a peer's change; an odd entry, like none, names no upstream."""
        upstream = None if change.entry is None else decode_upstream(change.entry)
        if upstream is not None and not self._fleet_state.upstreams.is_usable(upstream):
            upstream = None
        return UpstreamChange(change.revision, change.upstream_id, upstream)
