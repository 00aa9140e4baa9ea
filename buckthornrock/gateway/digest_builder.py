"""Builds the digests that an instance sends, except what differs by contact."""

import math

import msgspec

from ..wire.digests import Digest, Scope, StoreCalls
from .crash_gossip import CrashGossip
from .digest_entries import encode_change
from .fleet_state import FleetState
from .peer_settings import PeerSettings
from .peer_view import PeerView
from .relays import RelayTopology
from .upstream_gossip import UpstreamGossip

#: Minimum of peers listed in digests other than responses to discovery requests.
MIN_PEERS_LISTED = 2
#: Time within which an instance lists every known peer to each recipient.
PEER_LISTING_CYCLE_MS = 30_000.0
#: Periods for which digests list a change of an upstream's entry, and the most changes
#: in one digest. A peer that misses more pulls a copy.
N_CHANGE_PERIODS = 3
MAX_CHANGES_LISTED = 20


class DigestBuilder:
    """Numbers digests and fills in this instance's state.

    Attributes
    ----------
    is_stopping : bool
        Whether digests tell peers that this instance stops.
    """

    def __init__(
        self,
        settings: PeerSettings,
        fleet_state: FleetState,
        view: PeerView,
        topology: RelayTopology,
        upstream_gossip: UpstreamGossip,
        crash_gossip: CrashGossip,
    ) -> None:
        self.is_stopping = False
        self._settings = settings
        self._fleet_state = fleet_state
        self._view = view
        self._topology = topology
        self._upstream_gossip = upstream_gossip
        self._crash_gossip = crash_gossip
        self._number = 0

    def base(self, n_instances: int, period_ms: float, now_ms: float) -> Digest:
        """Return a digest for all contacts, without scope, work and prefill times.

        It takes the next updates from the queues.
        """
        n_peers = math.ceil(n_instances * period_ms / PEER_LISTING_CYCLE_MS)
        digest = self.empty(Scope.PEER_LIST, max(MIN_PEERS_LISTED, n_peers), now_ms)
        window = self._fleet_state.upstreams.recent_changes(
            N_CHANGE_PERIODS * period_ms, MAX_CHANGES_LISTED
        )
        digest.base_revision = window.base_revision
        digest.changes = [encode_change(change) for change in window.changes]
        self._upstream_gossip.fill(digest, now_ms)
        self._crash_gossip.fill(digest)
        return digest

    def for_followers(self, base: Digest, now_ms: float) -> Digest:
        """Return ``base`` plus the updates and weights loads from other relays."""
        digest = msgspec.structs.replace(base)
        self._upstream_gossip.fill_for_followers(digest, now_ms)
        self._crash_gossip.fill_for_followers(digest)
        return digest

    def empty(self, scope: Scope, n_peers: int, now_ms: float) -> Digest:
        """Return a digest that reports no work, weights loads or updates."""
        self._number += 1
        fleet_state = self._fleet_state
        configuration = fleet_state.configuration
        return Digest(
            instance_id=self._settings.instance_id,
            address=self._settings.address,
            failure_domain=self._settings.failure_domain,
            incarnation=self._settings.incarnation,
            number=self._number,
            scope=scope,
            relay=self._topology.relay,
            age_ms=0,
            configuration_version=configuration.version,
            revision=fleet_state.directory.revision,
            weights=fleet_state.wanted_versions.ages(),
            works=[],
            loading=[],
            loaded=[],
            cached_parts=[],
            peers=self._view.next_peers(n_peers, now_ms),
            is_stopping=self.is_stopping,
            store_age_ms=fleet_state.store_contact.rounded_age_ms(),
            store_calls=self._store_calls(),
            older_weights=fleet_state.wanted_versions.older_ages(),
            removed_isolated_accounts=list(configuration.removed_isolated_accounts),
        )

    def _store_calls(self) -> StoreCalls:
        if not self._fleet_state.is_watching_store:
            return StoreCalls.NONE
        is_failing = self._fleet_state.store_contact.is_failing
        return StoreCalls.FAILING if is_failing else StoreCalls.ANSWERED
