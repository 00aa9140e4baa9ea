"""Decision records are bounded and complete, and hold no prompt, response or key."""

import threading

import msgspec

from buckthornrock.commands.demo_world import start_world
from buckthornrock.commands.instances_http import read_all
from buckthornrock.telemetry.burn_text import record_lines
from buckthornrock.telemetry.decisions import DecisionRecord, open_decisions
from tests.telemetry.facts import build_facts


def test_oldest_records_are_dropped():
    decisions = open_decisions(10, lambda: 0, lambda *_: None)
    for index in range(25):
        decisions.begin(build_facts(f"r{index}"), 0.0)
    kept = [i for i in range(25) if decisions.find(f"r{i}") is not None]
    assert kept == list(range(15, 25))


def test_updates_of_dropped_record_are_ignored():
    ended = []
    decisions = open_decisions(1, lambda: 0, lambda *args: ended.append(args))
    decisions.begin(build_facts("old"), 0.0)
    decisions.begin(build_facts("new"), 0.0)
    decisions.on_admitted("old", 1.0)
    decisions.on_first_token("old", 1.0)
    decisions.on_failed("old", "stream-broken")
    decisions.end("old", "whole", "", 1, 2.0)
    assert ended == []


def test_concurrent_requests_all_report_their_end():
    ended = []
    decisions = open_decisions(10_000, lambda: 0, lambda *args: ended.append(args))

    def work(worker):
        for index in range(200):
            facts = build_facts(f"{worker}-{index}")
            decisions.begin(facts, 0.0)
            decisions.end(facts.request_id, "whole", "", 1, 1.0)

    threads = [threading.Thread(target=work, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(ended) == 1_600


def test_instance_explains_request_without_prompt_or_key():
    world = start_world()
    try:
        prompt = "a very private prompt " * 20
        body = {"model": "small", "prompt": prompt, "max_tokens": 4}
        response = world.post("/v1/completions", body)
        path = f"/v1/decisions/{response.headers['X-Request-Id']}"
        address = world.operator_url.removeprefix("http://")
        answers = read_all((address, "127.0.0.1:1"), "demo-operator-key", path)
        unknown = world.operate("GET", "/v1/decisions/none")
        burn = world.operate("GET", "/v1/burn")
    finally:
        world.stop()
    raw = answers.bodies[address]
    record = msgspec.json.decode(raw, type=DecisionRecord)
    assert answers.unreachable == ("127.0.0.1:1",)
    assert (record.outcome, record.n_tokens) == ("whole", 4)
    assert len(record.attempts) == 1
    assert record.attempts[0].upstream_id.startswith("engine-")
    assert record.attempts[0].ttft_ms is not None
    assert "private" not in raw.decode()
    answer = response.json()["choices"][0]["text"].strip()
    assert answer not in raw.decode()
    assert "demo-caller-key" not in raw.decode()
    assert (unknown.status, unknown.json()["code"]) == (404, "unknown-request")
    assert sum(row["n_long"] for row in burn.json()["rows"]) == 1
    lines = "\n".join(record_lines(record))
    assert record.attempts[0].upstream_id in lines
    assert "on time" in lines
