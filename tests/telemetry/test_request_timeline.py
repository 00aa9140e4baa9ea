"""The timeline of a request is built from the logs of several instances."""

import json

import pytest
from click.testing import CliRunner

from buckthornrock.commands import main
from buckthornrock.events import gateway as events
from buckthornrock.events import rollout as rollout_events
from buckthornrock.telemetry.request_timeline import (
    build_timeline,
    cause_of,
    parse_line,
    timeline_lines,
)


def line(at_s, instance, event, **fields):
    values = {name: fields.get(name, 0) for name in event.fields}
    body = {"event": event.number, "level": event.level, **values, "timestamp": 7.0}
    return f"{at_s} {instance} {json.dumps(body)}"


def not_served(at_s=4.0, **fields):
    defaults = {
        "request_id": "r1",
        "failure": "no-place",
        "reason": "no place before the deadline",
        "duration_ms": 600.0,
        "n_usable": 9,
        "n_waiting": 40,
        "wait_ms": 5_200.0,
        "upstream_id": "",
        "waited_ms": 0.0,
    }
    return line(at_s, "a-1", events.NOT_SERVED, **{**defaults, **fields})


def attempt(at_s=3.9, **fields):
    defaults = {
        "request_id": "r1",
        "upstream_id": "u1",
        "failure": "interrupted",
        "reason": "TimeoutError",
        "decision": "give up: may not run twice",
    }
    return line(at_s, "a-1", events.ATTEMPT_FAILED, **{**defaults, **fields})


def served(**fields):
    defaults = {"request_id": "r1", "upstream_id": "u1", "duration_ms": 900.0}
    return line(4.0, "a-1", events.SERVED, **{**defaults, **fields})


def upstream_changed(at_s=4.5, instance="a-1", upstream_id="u1", state="gone"):
    fields = {"upstream_id": upstream_id, "state": state}
    return line(at_s, instance, events.UPSTREAM_CHANGED, **fields)


def timeline_of(*texts):
    return build_timeline("r1", [parse_line(text, "file") for text in texts])


@pytest.mark.parametrize(
    ("texts", "cause"),
    [
        ([not_served()], "40 more waited for 9 upstreams, 5200.0 ms expected"),
        ([not_served(wait_ms=None)], "newer requests took every place"),
        ([not_served(n_usable=0)], "no upstream of the service was in use"),
        (
            [
                attempt(),
                not_served(failure="interrupted", reason="broke"),
                upstream_changed(),
            ],
            "broke: u1 interrupted (TimeoutError), give up: may not run twice, gone at",
        ),
        (
            [
                attempt(decision="try again"),
                not_served(n_usable=None, n_waiting=None, wait_ms=None),
            ],
            "no place before the deadline: u1 interrupted",
        ),
        (
            [
                not_served(
                    failure="deadline",
                    reason="no answer",
                    upstream_id="u1",
                    waited_ms=100.0,
                )
            ],
            "no answer: u1 had it for 500 ms, after 100 ms of waiting",
        ),
        (
            [not_served(failure="deadline", reason="no answer")],
            "no answer: no upstream had it in 600 ms",
        ),
        (
            [
                attempt(decision="try again"),
                not_served(
                    failure="deadline",
                    reason="no answer",
                    upstream_id="u2",
                    waited_ms=400.0,
                ),
            ],
            "try again; u2 had it for 200 ms",
        ),
        ([served(waited_ms=700.0, first_event_ms=800.0)], "waiting for an upstream"),
        ([served(waited_ms=10.0, first_event_ms=800.0)], "reading at u1"),
        ([served(waited_ms=10.0, first_event_ms=80.0)], "the answer itself"),
        (
            [attempt(decision="try again"), served(waited_ms=800.0)],
            "after u1 interrupted (TimeoutError), try again",
        ),
        (
            [
                line(
                    4.0,
                    "a-1",
                    events.TURNED_AWAY,
                    request_id="r1",
                    reason="the API key is not known",
                    configuration_version=12,
                )
            ],
            "the API key is not known (configuration 12)",
        ),
        (
            [line(4.0, "a-1", events.CLIENT_LEFT, request_id="r1", upstream_id="u1")],
            "the client left",
        ),
        (
            [
                line(
                    4.0,
                    "a-1",
                    events.HANDLER_FAILED,
                    request_id="r1",
                    reason="KeyError",
                )
            ],
            "a fault of ours: KeyError",
        ),
        ([attempt()], "no line on its end"),
    ],
)
def test_cause(texts, cause):
    assert cause in cause_of(timeline_of(*texts))


def test_context_holds_lines_of_the_same_upstreams_and_instance():
    texts = [
        attempt(),
        not_served(),
        upstream_changed(),
        upstream_changed(upstream_id="u2"),
        upstream_changed(instance="a-2"),
        upstream_changed(at_s=20.0),
        line(3.0, "a-2", rollout_events.ORDER_SENT, upstream_id="u1"),
        line(3.0, "a-1", events.STORE_LOST, prefix="p"),
        line(3.0, "a-2", events.STORE_LOST, prefix="p"),
        not_served(request_id="r2"),
    ]
    timeline = timeline_of(*texts)
    assert len(timeline.own) == 2
    found = {(entry.instance, entry.event) for entry in timeline.context}
    assert found == {
        ("a-1", events.UPSTREAM_CHANGED.number),
        ("a-2", rollout_events.ORDER_SENT.number),
        ("a-1", events.STORE_LOST.number),
    }
    text = timeline_lines(timeline)
    assert text[-1].startswith("cause: ")
    assert [entry.split()[0] for entry in text[:-1]] == [
        "3.000",
        "3.000",
        "3.900",
        "4.000",
        "4.500",
    ]


@pytest.mark.parametrize(
    "text", ["", "no event", '{"event":', '{"event":999999}', "{}", '["event"]']
)
def test_lines_that_are_no_events_are_ignored(text):
    assert parse_line(text, "file") is None


def test_line_without_prefix_gets_its_timestamp_and_the_given_instance():
    text = not_served().partition(" a-1 ")[2]
    found = parse_line(text, "a-7")
    assert (found.at_s, found.instance) == (7.0, "a-7")


def test_command_reads_files_of_several_instances(tmp_path):
    first, second = tmp_path / "a-1.log", tmp_path / "a-2.log"
    first.write_text("\n".join([attempt(), "noise", not_served()]))
    second.write_text(line(3.0, "a-2", rollout_events.ORDER_SENT, upstream_id="u1"))
    arguments = ["explain", "r1", "--log", str(first), "--log", str(second)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0
    assert "rollout.order_sent" in result.output
    missing = CliRunner().invoke(main, ["explain", "r9", "--log", str(first)])
    assert missing.exit_code == 1
    assert CliRunner().invoke(main, ["explain", "r9"]).exit_code == 2
