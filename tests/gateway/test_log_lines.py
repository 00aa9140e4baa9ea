"""Log lines of decisions name the inputs of the decision."""

import asyncio

import pytest

from buckthornrock.events import gateway as events
from buckthornrock.events import lifecycle as lifecycle_events
from buckthornrock.gateway.dispatcher import Dispatcher
from buckthornrock.gateway.gateway import Gateway
from buckthornrock.gateway.peers import PeerExchange
from buckthornrock.gateway.resources import ResourceMonitor
from buckthornrock.gateway.state_sync import StateSync
from tests.gateway.harness import ScriptedUpstream, ask, request, run, start_gateway
from tests.gateway.test_upstream_responses import (
    BODY,
    close_without_response,
    complete_response,
    refused,
    server_error,
)


def lines(harness, event):
    return [fields for name, fields in harness.logged if name == event.name]


@pytest.mark.parametrize(
    ("script", "path", "budget", "decision"),
    [
        (close_without_response, "/book/1", 50.0, "give up: may not run twice"),
        (close_without_response, "/read/1", 50.0, "try again"),
        (
            close_without_response,
            "/read/1",
            0.0,
            "give up: the retry budget is used up",
        ),
        (refused, "/book/1", 50.0, "try again"),
        (refused, "/book/1", 0.0, "give up: the retry budget is used up"),
    ],
)
def test_failed_attempt_logs_the_next_step(script, path, budget, decision):
    async def main():
        upstreams = [ScriptedUpstream(script) for _ in range(2)]
        harness = await start_gateway(*upstreams, budget=budget)
        await ask(harness.client_address, request(path))
        first = lines(harness, events.ATTEMPT_FAILED)[0]
        assert first["decision"] == decision

    run(main)


def test_used_up_attempts_are_logged_apart_from_the_retry_budget():
    async def main():
        harness = await start_gateway(
            *(ScriptedUpstream(server_error) for _ in range(3))
        )
        await ask(harness.client_address, request("/read/1"))
        decisions = [line["decision"] for line in lines(harness, events.ATTEMPT_FAILED)]
        assert decisions == ["try again", "give up: no attempt left"]

    run(main)


def test_refusal_without_upstreams_logs_its_inputs():
    async def main():
        harness = await start_gateway()
        reply = await ask(harness.client_address, request("/read/1"))
        assert reply.status == 503
        [line] = lines(harness, events.NOT_SERVED)
        assert (line["failure"], line["n_usable"]) == ("no-place", 0)
        assert line["reason"] == "no upstream is in service"
        assert line["configuration_version"] == 1
        assert line["retry_after_ms"] > 0.0

    run(main)


def test_unknown_key_is_logged_with_the_configuration_version():
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response), accounts={})
        reply = await ask(harness.client_address, request("/read/1"))
        assert reply.status == 401
        [line] = lines(harness, events.TURNED_AWAY)
        assert line["reason"] == "the API key is not known"
        assert line["configuration_version"] == 1

    run(main)


def test_error_response_is_forwarded_if_no_upstream_is_left_for_a_retry():
    async def main():
        harnesses = []

        async def fail_and_leave(received_request):
            ids = [u.upstream_id for u in harnesses[0].fleet_state.directory.all()]
            harnesses[0].fleet_state.upstreams.change([], ids, 2)
            await server_error(received_request)

        harnesses.append(await start_gateway(ScriptedUpstream(fail_and_leave)))
        reply = await ask(harnesses[0].client_address, request("/read/1"))
        assert (reply.status, reply.body) == (500, b"broken")
        [line] = lines(harnesses[0], events.NOT_SERVED)
        assert (line["failure"], line["status"]) == ("upstream-failed", 500)

    run(main)


def test_served_request_logs_the_age_of_its_inputs():
    async def main():
        harness = await start_gateway(ScriptedUpstream(complete_response))
        reply = await ask(harness.client_address, request("/read/1"))
        assert reply.body == BODY
        [line] = lines(harness, events.SERVED)
        assert line["digests_age_ms"] == 0.0
        assert line["configuration_version"] == 1

    run(main)


@pytest.mark.parametrize(
    ("owner", "function", "actor"),
    [
        (Dispatcher, "tick", "Dispatcher.tick"),
        (Gateway, "_keep_house", "Gateway._keep_house"),
        (Gateway, "_follow_store", "Gateway._expire_upstreams"),
        (PeerExchange, "run", "PeerExchange.run"),
        (ResourceMonitor, "run", "ResourceWatch.run"),
        (StateSync, "run", "KnowledgeExchange.run"),
    ],
)
def test_failed_background_loop_is_logged_by_its_name(
    monkeypatch, owner, function, actor
):
    """Operators' tools match the logged names, whatever the functions are called."""

    async def fail(self):
        raise ValueError("loop failed")

    async def main():
        monkeypatch.setattr(owner, function, fail)
        harness = await start_gateway()
        while not lines(harness, lifecycle_events.STEP_FAILED):
            await asyncio.sleep(0.01)
        line = lines(harness, lifecycle_events.STEP_FAILED)[0]
        assert line == {
            "actor": actor,
            "error_type": "ValueError",
            "reason": "loop failed",
        }

    run(main)
