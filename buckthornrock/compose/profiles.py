"""Wires profiles: the table in force, acceptance, gossip and the watch."""

from expression import Error, Ok, Result

from ..membership import MembershipPort
from ..profiles import ProfilePort, ProfileRecord
from ..profiles.acceptance import Acceptance
from ..profiles.errors import UnknownProfile
from ..profiles.gossip import SYNC_PERIOD_MS, ProfileGossip
from ..profiles.start import start_profile
from ..profiles.table import ProfileTable
from ..profiles.watching import ProfileWatch
from .core import Core, run_periodically

WATCH_STEP_PERIOD_MS = 500.0
#: First period of asking peers after a start; it grows until it is the usual one.
START_SYNC_PERIOD_MS = 100.0
START_SYNC_GROWTH = 1.1


def build_profiles(core: Core, membership: MembershipPort) -> ProfilePort:
    """Wire profiles to the key-value service and the other instances."""
    name = core.settings.default_profile
    table = ProfileTable([ProfileRecord(name, 0, start_profile(), "start")])
    gossip = ProfileGossip(table, membership, core.telemetry, core.rng)
    acceptance = Acceptance(
        core.kv,
        table,
        core.clock.wall_ms,
        gossip.fetch_from_peers,
        gossip.publish,
        core.telemetry,
    )
    watch = ProfileWatch(
        core.kv,
        acceptance,
        table.names,
        membership,
        core.clock.now_ms,
        core.telemetry,
        core.rng,
        core.fleet_size.n_instances,
    )
    run_periodically(core, "profiles.watch", watch.step, WATCH_STEP_PERIOD_MS)
    _synchronise(core, gossip)
    core.closers.append(gossip.close)
    core.closers.append(watch.close)
    return _open_port(table, acceptance, gossip)


def _synchronise(core: Core, gossip: ProfileGossip) -> None:
    """Compare with a peer every period, and more often until a profile is known."""
    handle = run_periodically(core, "profiles.sync", gossip.synchronise, SYNC_PERIOD_MS)

    def hasten(delay_ms: float) -> None:
        if gossip.has_accepted_profile() or delay_ms >= SYNC_PERIOD_MS:
            return
        handle.run_now()
        longer_ms = delay_ms * START_SYNC_GROWTH
        core.timer.call_later(delay_ms, lambda: hasten(longer_ms))

    hasten(START_SYNC_PERIOD_MS)


def _open_port(
    table: ProfileTable, acceptance: Acceptance, gossip: ProfileGossip
) -> ProfilePort:
    start = start_profile()

    def current(name: str) -> Result[ProfileRecord, UnknownProfile]:
        record = table.get(name)
        if record is not None:
            return Ok(record)
        if gossip.has_accepted_profile():
            return Error(UnknownProfile(name))
        # Nothing was heard of any profile yet, so nobody can say that there is none
        # of this name; a restarted instance serves at once.
        return Ok(ProfileRecord(name, 0, start, "start"))

    return ProfilePort(
        current=current,
        apply=acceptance.apply,
        names=table.names,
        history=acceptance.history,
        rollback=acceptance.rollback,
        status=gossip.status,
    )
