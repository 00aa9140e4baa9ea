"""A change of the isolated accounts reaches the cache salts of all later requests."""

import asyncio
import json
import time

import pytest

from buckthornrock.catalog.configuration import ClientAccount
from buckthornrock.events.gateway import CONFIGURATION_IN_FORCE
from tests.gateway.fleet import Fleet
from tests.gateway.harness import (
    KEY,
    ScriptedUpstream,
    ask,
    configuration,
    now_ms,
    request,
    run,
    start_gateway,
)
from tests.gateway.instance_process import CONFIGURATION, get, start_instance
from tests.gateway.instance_process import ask as ask_process
from tests.gateway.test_large_fleet import DISCOVERY_MS
from tests.gateway.test_streams import EVENTS, N_EVENTS, stream

SALT = b"X-Buckthornrock-Cache-Salt"
OTHER_KEY = "other-key"
ACCOUNTS = {KEY: ClientAccount("shop", None), OTHER_KEY: ClientAccount("mill", None)}
ISOLATED = frozenset({"shop"})
BLOCKED_MS = 500.0
#: Ends a test whose instance doesn't follow the store; no assertion depends on it.
IN_FORCE_LIMIT_S = 30.0


def salts(upstream):
    return [received.header(SALT) for received in upstream.received]


def from_other(path, request_id=b"r1"):
    return request(path, request_id).replace(KEY.encode(), OTHER_KEY.encode())


def isolate(harness, version=2):
    changed = configuration(version, accounts=ACCOUNTS, isolated_accounts=ISOLATED)
    harness.fleet_state.on_configuration(changed, b"", "test")


# Cached parts of an account that became isolated stayed in use for others (WALL).
@pytest.mark.parametrize("path", ["/long/1", "/note/1"])
def test_parts_cached_before_an_account_was_isolated_are_not_used_again(path):
    async def main():
        upstream = ScriptedUpstream(stream(N_EVENTS))
        harness = await start_gateway(upstream, accounts=ACCOUNTS)
        for message in (request(path), from_other(path)):
            assert (await ask(harness.client_address, message)).body == EVENTS
        isolate(harness)
        for message in (request(path, b"r2"), from_other(path, b"r3")):
            assert (await ask(harness.client_address, message)).body == EVENTS
        first, second, of_isolated, of_other = salts(upstream)
        assert first == second
        assert len({first, of_isolated, of_other}) == 3

    run(main)


# An isolated account that was removed left the set of isolated accounts: what it had
# cached before it was isolated was in use for the others again.
@pytest.mark.parametrize("path", ["/long/1", "/note/1"])
def test_parts_of_an_isolated_account_that_is_removed_stay_out_of_reach(path):
    async def main():
        upstream = ScriptedUpstream(stream(N_EVENTS))
        harness = await start_gateway(upstream, accounts=ACCOUNTS)
        await ask(harness.client_address, request(path))
        isolate(harness)
        remaining = {OTHER_KEY: ACCOUNTS[OTHER_KEY]}
        harness.fleet_state.on_configuration(
            configuration(3, accounts=remaining), b"", "test"
        )
        await ask(harness.client_address, from_other(path, b"r2"))
        of_removed, of_other = salts(upstream)
        assert of_removed != of_other

    run(main)


# Instances that started after an isolated account was removed used the scope of before.
@pytest.mark.parametrize(("n_instances", "loss"), [(7, 0.02), (30, 0.02)])
def test_restarted_instances_learn_of_removed_isolated_accounts(n_instances, loss):
    fleet = Fleet(n_instances, loss=loss)
    isolating, removing = (
        configuration(version, accounts={}, isolated_accounts=names)
        for version, names in ((10, ISOLATED), (11, frozenset()))
    )
    for node in fleet.nodes:
        node.fleet_state.on_configuration(isolating, b"", "test")
        node.fleet_state.on_configuration(removing, b"", "test")
    fleet.configuration = (removing, b"")
    fleet.run(DISCOVERY_MS)
    expected = fleet.nodes[0].fleet_state.configuration.table.cache_scope(None)
    assert expected != "shared"
    for node in fleet.nodes[:-1]:
        node.stop()
        node.start()
    fleet.run(DISCOVERY_MS)
    assert {
        n.fleet_state.configuration.table.cache_scope(None) for n in fleet.nodes
    } == {expected}


# A request that waited for capacity was sent with the salt of an older configuration.
def test_request_that_waited_while_an_account_was_isolated_uses_the_new_scope():
    async def main():
        upstream = ScriptedUpstream(stream(N_EVENTS))
        harness = await start_gateway(upstream, accounts=ACCOUNTS)
        await ask(harness.client_address, from_other("/note/1"))
        for entry in harness.fleet_state.directory.all():
            load = harness.fleet_state.loads.of(entry.incarnation)
            load.blocked_until_ms = now_ms() + BLOCKED_MS
        message = from_other("/note/1", b"r2")
        waiting = asyncio.create_task(ask(harness.client_address, message))
        await asyncio.sleep(BLOCKED_MS / 2000.0)
        assert len(upstream.received) == 1
        isolate(harness)
        assert (await waiting).body == EVENTS
        await ask(harness.client_address, from_other("/note/1", b"r3"))
        before, waited, after = salts(upstream)
        assert before != waited == after

    run(main)


# Operators couldn't see how many accounts an instance keeps apart, nor that one which
# was removed still counts.
def test_metric_counts_isolated_and_removed_accounts(tmp_path):
    instance = start_instance(tmp_path, 128, 400)
    shop, mill = ({"name": name, "isolated": True} for name in ("shop", "mill"))
    try:
        assert metric(instance) == 0
        for version, tenants, n_accounts in (
            (2, [shop], 1),
            (3, [shop, mill], 2),
            (4, [mill], 2),
            (5, [{**shop, "isolated": False, "apiKeys": ["k1"]}, mill], 1),
        ):
            changed = {**CONFIGURATION, "version": version, "tenants": tenants}
            instance.store.write("op/config", json.dumps(changed).encode())
            wait_in_force(instance, version)
            assert metric(instance) == n_accounts
    finally:
        instance.stop()


def wait_in_force(instance, version):
    until_s = time.monotonic() + IN_FORCE_LIMIT_S
    while not any(
        line["event"] == CONFIGURATION_IN_FORCE.number and line["version"] == version
        for line in instance.logged()
    ):
        assert time.monotonic() < until_s
        time.sleep(0.05)


def metric(instance):
    _, body = ask_process(instance.metrics_address, get("/metrics"))
    prefix = 'buckthornrock_isolated_accounts{label=""} '
    lines = body.decode().splitlines()
    return next(int(li.removeprefix(prefix)) for li in lines if li.startswith(prefix))
