"""Orders from an operator's command to emulated engines, over real sockets."""

import time

import msgspec
import pytest
from click.testing import CliRunner

from buckthornrock.commands import main
from buckthornrock.runtime import system_clock
from buckthornrock.standins.engine import (
    EngineParameters,
    EngineStandin,
    Served,
    start_engine,
)
from buckthornrock.standins.engine_orders import EngineOrders, LoadGate
from tests.dispatch.service_world import OPERATOR_KEY, ServiceWorld

WAIT_S = 15.0
N_ENGINES = 4
N_SLOTS = 2


class EngineWorld:
    """Cold emulated engines behind running instances."""

    def __init__(self):
        clock = system_clock()
        self.gate = LoadGate(N_SLOTS, load_time_ms=150.0)
        self.orders = [
            EngineOrders(self.gate, Served((), ""), True, clock.now_ms)
            for _ in range(N_ENGINES)
        ]
        self._servers = [
            start_engine(EngineStandin(EngineParameters(), orders=orders))
            for orders in self.orders
        ]
        servers = [
            {
                "id": f"engine-{index}",
                "kind": "engine",
                "address": f"127.0.0.1:{server.port}",
                "failure_domain": f"fd-{index % 2}",
                "models": ["small"],
            }
            for index, server in enumerate(self._servers)
        ]
        self.now_ms = clock.now_ms
        self.world = ServiceWorld(
            [],
            1,
            upstreams={"servers": servers, "poll_period_ms": 50},
            orders={
                "n_load_slots": N_SLOTS,
                "step_period_ms": 50,
                "refresh_period_ms": 100,
            },
        )

    def place(self, version, weights):
        wanted = {
            "model": "small",
            "weights_version": weights,
            "adapters": [],
            "role": "",
        }
        body = {
            "expected_version": version,
            "placement": {
                "min_serving_share": 0.5,
                "failure_domains": {"*": wanted},
                "upstreams": {},
            },
        }
        return self.world.operate(0, "PUT", "/v1/placement", body)

    def weights(self):
        return [o.state(self.now_ms()).weights_version for o in self.orders]

    def command(self, *arguments):
        port = self.world.instances[0].operator.port
        options = ["--operator", f"127.0.0.1:{port}", "--key", OPERATOR_KEY]
        return CliRunner().invoke(main, [*arguments, *options])

    def stop(self):
        self.world.stop()
        for server in self._servers:
            server.stop()


@pytest.fixture(scope="module")
def engines():
    world = EngineWorld()
    yield world
    world.stop()


def wait_for(condition):
    give_up_at_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < give_up_at_s
        time.sleep(0.02)


def test_cold_engines_are_loaded_rolled_and_reloaded(engines):
    assert engines.place(0, "w1").status == 200
    wait_for(lambda: engines.weights() == ["w1"] * N_ENGINES)
    assert engines.place(0, "w9").json()["code"] == "placement-conflict"
    assert engines.place(1, "w2").status == 200
    wait_for(lambda: engines.weights() == ["w2"] * N_ENGINES)
    engines.orders[2].restart(engines.now_ms())
    wait_for(lambda: engines.weights() == ["w2"] * N_ENGINES)
    assert engines.gate.n_most <= N_SLOTS
    fencing = [order.fencing for order in engines.orders[0].taken]
    assert fencing == sorted(fencing)


def test_commands_order_one_engine_and_show_it(engines):
    ordered = engines.command(
        "order", "load", "engine-1", "--model", "small", "--weights", "w3"
    )
    assert ordered.exit_code == 0, ordered.output
    wait_for(lambda: engines.weights()[1] == "w3")
    assert (
        engines.command("order", "role", "engine-1", "--role", "decode").exit_code == 0
    )
    adapter = engines.command("order", "adapter", "engine-1", "--adapter", "a1")
    assert adapter.exit_code == 0
    state = engines.orders[1].state
    wait_for(lambda: state(engines.now_ms()).role == "decode")
    wait_for(lambda: state(engines.now_ms()).adapters == ("a1",))
    shown = engines.command("upstreams", "engine-1", "--json")
    row = msgspec.json.decode(shown.stdout)[0]
    assert (row["steward"], row["role"], row["state"]) == ("i0", "decode", "live")
    table = engines.command("upstreams")
    assert table.exit_code == 0
    assert len(table.stdout.splitlines()) == N_ENGINES + 1


def test_exit_codes_distinguish_a_refusal_from_no_answer(engines):
    refused = engines.command("order", "role", "no-engine", "--role", "x")
    assert refused.exit_code == 1
    assert engines.command("upstreams", "no-engine").exit_code == 1
    nobody = CliRunner().invoke(
        main, ["upstreams", "--operator", "127.0.0.1:1", "--key", "k"]
    )
    assert nobody.exit_code == 2
