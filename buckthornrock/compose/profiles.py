"""Wires profiles: the table in force, acceptance, gossip and the watch."""

from expression import Error, Ok, Result

from ..membership import MembershipPort
from ..profiles import ProfilePort, ProfileRecord
from ..profiles.acceptance import Acceptance
from ..profiles.errors import UnknownProfile
from ..profiles.gossip import START_SYNC_PERIOD_MS, ProfileGossip
from ..profiles.start import start_profile
from ..profiles.table import ProfileTable
from ..profiles.watching import ProfileWatch
from .core import Core, run_periodically

WATCH_STEP_PERIOD_MS = 200.0


def build_profiles(core: Core, membership: MembershipPort) -> ProfilePort:
    """Wire profiles to the key-value service and the other instances."""
    name = core.settings.default_profile
    table = ProfileTable([ProfileRecord(name, 0, start_profile(), "start")])
    gossip = ProfileGossip(table, membership, core.telemetry, core.rng)
    acceptance = Acceptance(
        core.kv,
        table,
        core.clock.wall_ms,
        gossip.learn,
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
    run_periodically(
        core,
        "profiles.sync",
        lambda: gossip.synchronise(core.clock.now_ms()),
        START_SYNC_PERIOD_MS,
    )
    core.closers.append(gossip.close)
    core.closers.append(watch.close)
    return _open_port(table, acceptance, gossip)


def _open_port(
    table: ProfileTable, acceptance: Acceptance, gossip: ProfileGossip
) -> ProfilePort:
    def current(name: str) -> Result[ProfileRecord, UnknownProfile]:
        record = table.get(name)
        return Ok(record) if record else Error(UnknownProfile(name))

    return ProfilePort(
        current=current,
        apply=acceptance.apply,
        names=table.names,
        history=acceptance.history,
        rollback=acceptance.rollback,
        status=gossip.status,
    )
