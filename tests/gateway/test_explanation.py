"""``buckthornrock where`` says where the next request goes, and changes nothing."""

import asyncio
import collections
import math
import random
from urllib.parse import urlencode

import msgspec
import pytest
from click.testing import CliRunner

from buckthornrock.admission.quota_limits import AccountLimit
from buckthornrock.catalog.configuration import ClientAccount, RouteKind, ServiceShare
from buckthornrock.catalog.upstream_notices import Notice
from buckthornrock.catalog.upstreams import Upstream
from buckthornrock.commands import main as command_line
from buckthornrock.gateway.crash_watch import crash_part_number
from buckthornrock.gateway.explanation import (
    MAX_PARTS,
    MAX_QUERY_BYTES,
    ExplanationInputs,
    explain_encoded,
)
from buckthornrock.gateway.explanation_document import Explanation
from buckthornrock.gateway.requests import ClientRequest
from buckthornrock.scheduling.crash_suspects import Quarantine
from buckthornrock.scheduling.loads import LoadReport, Work
from buckthornrock.telemetry import Telemetry
from tests.gateway.harness import (
    HOST,
    KEY,
    ScriptedUpstream,
    ask,
    now_ms,
    request,
    response_bytes,
    route,
    run,
    start_gateway,
)
from tests.gateway.test_streams import N_EVENTS, stream

N_UPSTREAMS = 6
EXPECT_INSTANCE = b"X-Buckthornrock-Expect-Instance"
ROUTES = (
    route(RouteKind.STREAM, "bulk", rank=2, objective_ms=1_500.0),
    route(RouteKind.STREAM, "quick", objective_ms=500.0),
    route(RouteKind.IDEMPOTENT, "read"),
    route(RouteKind.IDEMPOTENT, "open", is_public=True),
    route(
        RouteKind.IDEMPOTENT,
        "split",
        shares=(ServiceShare("till", 3.0), ServiceShare("none", 1.0)),
    ),
)
#: Kind of request -> path, tokens and parts.
REQUESTS = {
    "long": ("/bulk/1", "17000,160", "contract:13300,own:3700"),
    "short": ("/quick/1", "380,50", "own:380"),
    "plain": ("/read/1", "", ""),
}


async def answer(received_request):
    if b"/read/" in received_request.head:
        response = response_bytes(received_request.request_id, b"whole")
        await received_request.send(response)
        return
    await stream(N_EVENTS)(received_request)


async def start(**changes):
    upstreams = [ScriptedUpstream(answer) for _ in range(N_UPSTREAMS)]
    harness = await start_gateway(*upstreams, **{"routes": ROUTES} | changes)
    return harness, upstreams


def query(path, tokens="", parts="", account="shop", **others):
    fields = {"host": HOST, "path": path, "account": account, **others}
    if tokens:
        fields |= {"model": "m", "tokens": tokens, "parts": parts}
    return urlencode(fields)


def inputs_of(harness):
    gateway = harness.gateway
    return ExplanationInputs(
        "i1",
        harness.fleet_state,
        gateway._dispatcher,
        gateway._exchange_context.stopping,
        lambda: 1,
        now_ms,
        gateway._exchange_context.quotas,
    )


def explain(harness, encoded_query, method=b"GET"):
    target = b"/where?" + encoded_query.encode()
    asked = ClientRequest(method, target, [], b"", None, 0.0)
    return explain_encoded(asked, inputs_of(harness))


def explained(harness, *arguments, **others):
    encoded = explain(harness, query(*arguments, **others))
    return msgspec.json.decode(encoded.ok, type=Explanation)


def client_message(path, tokens, parts, request_id):
    extra = b""
    if tokens:
        extra = (
            b"X-Buckthornrock-Model: m\r\n"
            b"X-Buckthornrock-Token-Count: %s\r\nX-Buckthornrock-Prefix-Hash: %s\r\n"
            % (tokens.encode(), parts.encode())
        )
    return request(path, request_id, extra=extra)


def set_loads(harness, seed, failing_share=0.0):
    """Give each upstream work and a load report, at random.

    The reports stay fresh for the test, so that no choice depends on its speed.
    """
    rng = random.Random(seed)
    for upstream in harness.fleet_state.directory.all():
        load = harness.fleet_state.loads.of(upstream.incarnation)
        work = Work(rng.randint(0, 6), rng.uniform(0.0, 300.0), rng.randint(0, 60_000))
        load.own = work
        report_at_ms = now_ms() + 60_000.0
        pace = rng.randint(50, 200)
        load.report = LoadReport(work.n_requests, 0, 8, report_at_ms, pace)
        load.on_outcome(rng.random() < failing_share, now_ms())


async def settle(harness):
    """Wait until no request is open, and let all prefills be done."""
    while harness.gateway._n_busy():
        await asyncio.sleep(0.005)
    for load in harness.fleet_state.loads._loads.values():
        parts = load.parts._parts
        for key in parts:
            parts[key] = parts[key]._replace(ready_at_ms=0.0)


def state_of(value, seen=None):
    """Return all that an object of the product holds, for a comparison."""
    seen = set() if seen is None else seen
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, dict):
        return [(repr(key), state_of(item, seen)) for key, item in value.items()]
    if isinstance(value, list | tuple | collections.deque):
        return [state_of(item, seen) for item in value]
    is_own = type(value).__module__.startswith("buckthornrock.")
    if not is_own or isinstance(value, Telemetry) or not hasattr(value, "__dict__"):
        return repr(value)
    if id(value) in seen:
        return type(value).__name__
    seen.add(id(value))
    return [(name, state_of(item, seen)) for name, item in vars(value).items()]


def whole_state(harness):
    context = harness.gateway._exchange_context
    return [
        state_of(harness.fleet_state),
        state_of(harness.gateway._dispatcher),
        state_of(context.budget),
        state_of(context.crash_watch),
        harness.gateway._rng.getstate(),
        random.getstate(),
        list(harness.logged),
    ]


def sent_to(upstreams, n_before):
    received = [r for upstream in upstreams for r in upstream.received[:]]
    assert len(received) == n_before + 1
    return {r.request_id: r.header(EXPECT_INSTANCE).decode() for r in received}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kind", REQUESTS)
def test_next_request_goes_where_the_explanation_said(kind, seed):
    """Guards against an explanation that decides otherwise than a request.

    The second request finds the parts of the first one cached.
    """

    async def main():
        harness, upstreams = await start()
        for number in range(3):
            set_loads(harness, seed * 100 + number)
            target = f"/where?{query(*REQUESTS[kind])}".encode()
            reply = await ask(harness.metrics_address, request("/", b"w").replace(
                b"GET / ", b"GET %s " % target
            ))  # fmt: skip
            assert reply.status == 200
            (service,) = msgspec.json.decode(reply.body, type=Explanation).services
            assert service.outcome == "placed"
            request_id = b"r%d" % number
            message = client_message(*REQUESTS[kind], request_id)
            assert (await ask(harness.client_address, message)).status == 200
            assert sent_to(upstreams, number)[request_id] == service.upstream_id
            await settle(harness)

    run(main)


@pytest.mark.parametrize("kind", REQUESTS)
@pytest.mark.parametrize("load", ["some", "full", "none seen", "quiet"])
def test_explanation_changes_no_state(kind, load):
    """Guards against a reservation, a count, a decay or a draw by an explanation."""

    async def main():
        harness, _ = await start()
        fleet_state = harness.fleet_state
        message = client_message(*REQUESTS[kind], b"r1")
        if load != "none seen":
            await ask(harness.client_address, message)
            await settle(harness)
            set_loads(harness, 7, failing_share=0.3)
        for upstream in fleet_state.directory.all():
            if load == "full":
                fleet_state.loads.of(upstream.incarnation).own = Work(8, 400.0, 99_000)
            if load == "quiet":
                fleet_state.notices.on_notice(upstream, Notice(False, True, 60_000.0))
        waiting = []
        if load == "full":
            for number in range(3):
                asked = client_message(*REQUESTS[kind], b"w%d" % number)
                waiting.append(asyncio.create_task(ask(harness.client_address, asked)))
            while harness.gateway._dispatcher.n_waiting() < 3:
                await asyncio.sleep(0.01)
        before = whole_state(harness)
        shown = [explained(harness, *REQUESTS[kind]) for _ in range(3)]
        assert whole_state(harness) == before
        outcomes = {"some": "placed", "none seen": "placed", "quiet": "refused"}
        outcome = outcomes.get(load, "queued")
        assert {s.services[0].outcome for s in shown} == {outcome}
        assert shown[0].services[0].n_waiting == len(waiting)
        for task in waiting:
            task.cancel()

    run(main)


def change_entry(harness, upstream, **changes):
    fleet_state = harness.fleet_state
    changed = Upstream(*upstream)._replace(**changes)
    fleet_state.upstreams.change([changed], [], fleet_state.upstreams.revision + 1)


def set_load(harness, upstream, **changes):
    for name, value in changes.items():
        setattr(harness.fleet_state.loads.of(upstream.incarnation), name, value)


def notice(harness, upstream, *fields):
    harness.fleet_state.notices.on_notice(upstream, Notice(*fields))


#: Obstacle -> what brings it about at an engine, with its arguments.
OBSTACLES = {
    "draining": (change_entry, {"is_draining": True}),
    "leaving": (notice, (True,)),
    "asked for quiet": (notice, (False, True, 60_000.0)),
    "blocked after a failed or refused request": (
        set_load, {"blocked_until_ms": math.inf},
    ),
    "loading weights": (set_load, {"loading_until_ms": math.inf}),
    "no free slot": (set_load, {"own": Work(8)}),
    "too much queued prefill": (set_load, {"own": Work(1, 351.0)}),
    "not enough free memory": (set_load, {"own": Work(1, 0.0, 95_000)}),
    "the model is not loaded": (change_entry, {"weights_versions": {}}),
}  # fmt: skip


@pytest.mark.parametrize("obstacle", OBSTACLES)
def test_explanation_names_what_keeps_an_engine_out(obstacle):
    async def main():
        harness, _ = await start()
        upstream = harness.fleet_state.directory.get("engines-2")
        bring_about, arguments = OBSTACLES[obstacle]
        if isinstance(arguments, dict):
            bring_about(harness, upstream, **arguments)
        else:
            bring_about(harness, upstream, *arguments)
        (service,) = explained(harness, *REQUESTS["long"]).services
        obstacles = {o.upstream_id: o.obstacle for o in service.options}
        assert obstacles.pop("engines-2") == obstacle
        assert set(obstacles.values()) == {""}
        assert service.upstream_id != "engines-2"
        chosen, *others = service.options
        assert (chosen.upstream_id, chosen.is_chosen) == (service.upstream_id, True)
        for option in (chosen, *others[:-1]):
            terms = msgspec.structs.astuple(option.terms)
            assert sum(terms) == pytest.approx(option.estimate_ms, abs=0.5)

    run(main)


#: Query -> the blockers' codes, and the services with their shares and outcomes.
BLOCKED = {
    "unknown account": (("/read/1", "", "", "other"), ["unknown-key"], []),
    "no key": (("/read/1", "", "", ""), ["unknown-key"], []),
    "no key needed": (("/open/1", "", "", ""), [], [("till", 1.0, "placed", [])]),
    "no route": (("/nowhere/", "", "", "shop"), ["no-route"], []),
    "odd tokens": (
        ("/quick/1", "380", "own:380", "shop"),
        [],
        [("engines", 1.0, "refused", ["malformed-prompt"])],
    ),
    "odd service": (
        ("/split/1", "", "", "shop"),
        [],
        [("till", 0.75, "placed", []), ("none", 0.25, "refused", ["no-service"])],
    ),
}


@pytest.mark.parametrize(
    ("arguments", "codes", "services"), BLOCKED.values(), ids=BLOCKED
)
def test_explanation_names_what_refuses_the_request(arguments, codes, services):
    async def main():
        harness, _ = await start()
        shown = explained(harness, *arguments)
        assert [blocker.code for blocker in shown.blockers] == codes
        assert services == [
            (s.service, s.share, s.outcome, [b.code for b in s.blockers])
            for s in shown.services
        ]

    run(main)


def test_explanation_names_a_quota_that_refuses_and_charges_nothing():
    async def main():
        harness, _ = await start()
        limited = ClientAccount("shop", None, AccountLimit(0.001, 2.0))
        table = harness.fleet_state.configuration.table.configuration
        changed = table._replace(version=99, accounts={KEY: limited})
        harness.fleet_state.on_configuration(changed, b"", "test")
        shown = explained(harness, *REQUESTS["plain"])
        (blocker,) = shown.services[0].blockers
        assert (blocker.status, blocker.code) == (429, "over-quota")
        assert harness.quota.group_report([], now_ms()).charges == {}

    run(main)


def test_explanation_names_a_quarantined_part():
    async def main():
        harness, _ = await start()
        part = crash_part_number("m", "contract")
        state = Quarantine(1, True, 0, now_ms())
        harness.fleet_state.crash_findings.on_peer_quarantine(part, state, "i2")
        shown = explained(harness, *REQUESTS["long"])
        (service,), (quarantined,) = shown.services, shown.quarantined_parts
        (blocker,) = service.blockers
        assert (blocker.status, blocker.code) == (503, "quarantined-part")
        assert service.outcome == "refused"
        assert (quarantined.part, quarantined.part_id) == (part, "contract")
        message = client_message(*REQUESTS["long"], b"r1")
        refused = await ask(harness.client_address, message)
        assert refused.status == 503
        assert msgspec.json.decode(refused.body)["detail"] == blocker.reason
        (other,) = explained(harness, *REQUESTS["short"]).services
        assert (other.outcome, other.blockers) == ("placed", [])

    run(main)


def test_explanation_of_an_instance_that_stops():
    async def main():
        harness, _ = await start()
        harness.gateway._exchange_context.stopping.begin(now_ms() - 10_000.0, 12_000.0)
        (service,) = explained(harness, *REQUESTS["plain"]).services
        assert [blocker.code for blocker in service.blockers] == ["stopping"]

    run(main)


def test_explanation_shows_the_version_and_the_ages_of_its_inputs():
    async def main():
        harness, _ = await start()
        upstream = harness.fleet_state.directory.get("engines-0")
        harness.fleet_state.loads.on_digest("i2", {}, now_ms() - 100.0, 50.0)
        harness.fleet_state.store_contact.on_confirmed(700.0)
        report = LoadReport(1, 0, 8, now_ms() - 250.0)
        set_load(harness, upstream, report=report)
        shown = explained(harness, *REQUESTS["short"])
        assert shown.configuration_version == 1
        assert 150.0 <= shown.ages.digests_ms <= 1_150.0
        assert shown.ages.store_ms >= 700.0
        ages = {o.upstream_id: o.report_age_ms for o in shown.services[0].options}
        assert ages["engines-0"] >= 250.0
        assert ages["engines-1"] is None
        assert any("own interface" in subject for subject in shown.not_covered)

    run(main)


ODD_QUERIES = {
    "method": ("host=h", b"POST"),
    "unknown field": ("host=h&key=k", b"GET"),
    "repeated field": ("host=h&host=i", b"GET"),
    "no value": ("host", b"GET"),
    "too long": (f"host={'h' * MAX_QUERY_BYTES}", b"GET"),
    "too many parts": (f"parts={'a:1,' * MAX_PARTS}a:1", b"GET"),
    "deadline": ("deadline_ms=soon", b"GET"),
    "endless deadline": ("deadline_ms=1e999", b"GET"),
    "not ASCII": ("host=\xfc", b"GET"),
}


@pytest.mark.parametrize(("text", "method"), ODD_QUERIES.values(), ids=ODD_QUERIES)
def test_odd_query_is_refused(text, method):
    """Guards the event loop: whatever can reach the metrics address can ask."""

    async def main():
        harness, _ = await start()
        refused = explain(harness, text, method)
        assert (refused.error.status, refused.error.code) == (400, "bad-query")

    run(main)


def test_explanation_holds_no_api_key():
    async def main():
        accounts = {KEY: ClientAccount("shop", None), "k2": ClientAccount("mill", 1)}
        harness, _ = await start(accounts=accounts)
        for kind in REQUESTS:
            for account in ("shop", KEY, "k2"):
                encoded = explain(harness, query(*REQUESTS[kind], account=account)).ok
                assert KEY.encode() not in encoded
                assert b'"k2"' not in encoded

    run(main)


def test_other_paths_of_the_metrics_address_serve_metrics():
    async def main():
        harness, _ = await start()
        for path in ("/metrics", "/", "/wherever"):
            reply = await ask(harness.metrics_address, request(path))
            assert reply.status == 200
            assert reply.headers[b"content-type"].startswith(b"text/plain")

    run(main)


@pytest.mark.parametrize("kind", REQUESTS)
def test_command_prints_where_the_next_request_goes(kind):
    async def main():
        harness, upstreams = await start()
        set_loads(harness, 5)
        path, tokens, parts = REQUESTS[kind]
        arguments = [
            "where", HOST, path, "--instance", harness.metrics_address,
            "--account", "shop", "--deadline-ms", "4000",
        ]  # fmt: skip
        if tokens:
            arguments += ["--model", "m", "--tokens", tokens]
            arguments += [f"--part={part}" for part in parts.split(",")]
        printed = await asyncio.to_thread(CliRunner().invoke, command_line, arguments)
        assert printed.exit_code == 0, printed.output
        message = client_message(*REQUESTS[kind], b"r1")
        await ask(harness.client_address, message)
        upstream_id = sent_to(upstreams, 0)[b"r1"]
        assert f"placed at {upstream_id}" in printed.output
        assert printed.output.count("\n  * ") == 1
        assert "not covered: " in printed.output
        as_json = await asyncio.to_thread(
            CliRunner().invoke, command_line, [*arguments, "--json"]
        )
        msgspec.json.decode(as_json.output, type=Explanation)

    run(main)


def test_command_fails_without_an_answer():
    async def main():
        harness, _ = await start()
        for address, reason in (
            ("127.0.0.1:1", "not reached"),
            (harness.ready_address, "no explanation"),
            (harness.metrics_address, "status 400"),
        ):
            parts = "a:1," * MAX_PARTS + "a:1"
            arguments = ["where", HOST, "/", "--instance", address, "--part", parts]
            printed = await asyncio.to_thread(
                CliRunner().invoke, command_line, arguments
            )
            assert printed.exit_code == 1
            assert reason in printed.output

    run(main)
