"""Collects the log lines of one request from several instances, and explains its end.

A line may have a text prefix. If the first word of the prefix is a number, it is the
line's time in seconds, and the second word is its instance. The module does no I/O.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from ..events import CATALOGUE
from ..events import gateway as events
from ..events import rollout as rollout_events

#: Lines about upstreams and the store are shown from this long before the request
#: to ``CONTEXT_AFTER_S`` after its last line.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 2.0
#: Fields that are not shown: every line has them, or the request id itself.
_HIDDEN = {
    "event",
    "message_type",
    "level",
    "timestamp",
    "task_uuid",
    "task_level",
    "request_id",
}
#: Events that may explain any request of the instance that logged them.
_INSTANCE_EVENTS = {
    events.STORE_LOST.number,
    events.STORE_BACK.number,
    events.CONFIGURATION_IN_FORCE.number,
    events.STOPPING.number,
    events.STARTED.number,
}


class LogLine(NamedTuple):
    """One log line, its time, and the instance that wrote it."""

    at_s: float
    instance: str
    event: int
    fields: dict[str, Any]


class RequestTimeline(NamedTuple):
    """Lines of one request, and other lines that may explain them, in order of time."""

    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]


def parse_line(text: str, instance: str) -> LogLine | None:
    """Return the parsed line, or None if it is not an event of the catalogue."""
    prefix, brace, rest = text.partition("{")
    try:
        fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
    except msgspec.DecodeError:
        return None
    if fields.get("event") not in CATALOGUE:
        return None
    words = prefix.split()
    if len(words) >= 2 and _is_number(words[0]):
        return LogLine(float(words[0]), words[1], fields["event"], fields)
    return LogLine(
        float(fields.get("timestamp", 0.0)), instance, fields["event"], fields
    )


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> RequestTimeline:
    """Return the lines of one request and their context; empty if there are none."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    own = tuple(line for line in ordered if line.fields.get("request_id") == request_id)
    if not own:
        return RequestTimeline((), ())
    begin_s = _started_at_s(own) - CONTEXT_BEFORE_S
    end_s = own[-1].at_s + CONTEXT_AFTER_S
    is_relevant = _relevance(own)
    context = tuple(
        line for line in ordered if begin_s <= line.at_s <= end_s and is_relevant(line)
    )
    return RequestTimeline(own, context)


def _relevance(own: tuple[LogLine, ...]) -> Callable[[LogLine], bool]:
    """Return a predicate for lines that may explain the request of ``own``."""
    upstream_ids = {line.fields.get("upstream_id") for line in own} - {None, ""}
    instances = {line.instance for line in own}

    def is_relevant(line: LogLine) -> bool:
        if line.event == rollout_events.ORDER_SENT.number:
            return line.fields["upstream_id"] in upstream_ids
        if line.instance not in instances:
            return False
        if line.event == events.UPSTREAM_CHANGED.number:
            return line.fields["upstream_id"] in upstream_ids
        return line.event in _INSTANCE_EVENTS

    return is_relevant


def timeline_lines(timeline: RequestTimeline) -> list[str]:
    """Return the timeline as text: one line per event, and the cause last."""
    lines = [("  ", line) for line in timeline.own]
    lines += [("    ", line) for line in timeline.context]
    lines.sort(key=lambda entry: entry[1].at_s)
    text = [_text(line, indent) for indent, line in lines]
    return [*text, f"cause: {cause_of(timeline)}"]


def cause_of(timeline: RequestTimeline) -> str:
    """Return why the request ended as it did."""
    last = timeline.own[-1]
    explain = _CAUSES.get(last.event)
    return explain(last, timeline) if explain else "the log has no line on its end"


def _not_served(last: LogLine, timeline: RequestTimeline) -> str:
    fields = last.fields
    is_no_place = fields["failure"] == "no-place"
    if is_no_place and fields["n_usable"] == 0:
        return "no upstream of the service was in use"
    found = [_attempt_text(line, timeline) for line in _attempts(timeline)]
    if is_no_place and not found:
        found.append(_queue_text(fields))
    if not found or fields["failure"] == "deadline":
        found.append(_time_spent_text(fields))
    return f"{fields['reason']}: {'; '.join(found)}"


def _queue_text(fields: dict[str, Any]) -> str:
    text = f"{fields['n_waiting']} more waited for {fields['n_usable']} upstreams"
    if fields["wait_ms"] is None:
        # None stands for an infinite wait, which JSON can't represent.
        return f"{text}, and newer requests took every place"
    return f"{text}, {fields['wait_ms']} ms expected"


def _time_spent_text(fields: dict[str, Any]) -> str:
    if not fields["upstream_id"]:
        return f"no upstream had it in {fields['duration_ms']:.0f} ms"
    at_upstream_ms = fields["duration_ms"] - fields["waited_ms"]
    return (
        f"{fields['upstream_id']} had it for {at_upstream_ms:.0f} ms, "
        f"after {fields['waited_ms']:.0f} ms of waiting"
    )


def _attempt_text(line: LogLine, timeline: RequestTimeline) -> str:
    upstream_id = line.fields["upstream_id"]
    unready = [
        other
        for other in timeline.context
        if other.event == events.UPSTREAM_CHANGED.number
        and other.fields["upstream_id"] == upstream_id
        and other.fields["state"] != "ready"
    ]
    text = f"{upstream_id} {line.fields['failure']} ({line.fields['reason']})"
    text += f", {line.fields['decision']}"
    if unready:
        text += f", {unready[-1].fields['state']} at {unready[-1].at_s:.1f} s"
    return text


def _served(last: LogLine, timeline: RequestTimeline) -> str:
    fields = last.fields
    waited_ms, first_ms = fields["waited_ms"], fields["first_event_ms"]
    parts_ms = {
        "waiting for an upstream": waited_ms,
        f"reading at {fields['upstream_id']}": first_ms - waited_ms,
        "the answer itself": fields["duration_ms"] - first_ms,
    }
    longest = max(parts_ms, key=lambda name: parts_ms[name])
    text = f"served; most time went to {longest}, {parts_ms[longest]:.0f} ms"
    failed = "; ".join(_attempt_text(line, timeline) for line in _attempts(timeline))
    return f"{text}, after {failed}" if failed else text


def _client_left(last: LogLine, timeline: RequestTimeline) -> str:
    if not last.fields["upstream_id"]:
        return f"the client left after {last.fields['duration_ms']} ms without a place"
    return (
        f"the client left after {last.fields['duration_ms']} ms at "
        f"{last.fields['upstream_id']}"
    )


def _turned_away(last: LogLine, timeline: RequestTimeline) -> str:
    version = last.fields["configuration_version"]
    return f"{last.fields['reason']} (configuration {version})"


_CAUSES = {
    events.SERVED.number: _served,
    events.NOT_SERVED.number: _not_served,
    events.CLIENT_LEFT.number: _client_left,
    events.TURNED_AWAY.number: _turned_away,
    events.HANDLER_FAILED.number: lambda last, _: (
        f"a fault of ours: {last.fields['reason']}"
    ),
}


def _attempts(timeline: RequestTimeline) -> list[LogLine]:
    return [line for line in timeline.own if line.event == events.ATTEMPT_FAILED.number]


def _started_at_s(own: tuple[LogLine, ...]) -> float:
    ages_s = [line.fields.get("duration_ms", 0.0) / 1000.0 for line in own]
    return min(line.at_s - age_s for line, age_s in zip(own, ages_s, strict=True))


def _text(line: LogLine, indent: str) -> str:
    event = CATALOGUE[line.event]
    shown = [
        f"{name}={value}" for name, value in line.fields.items() if name not in _HIDDEN
    ]
    return f"{indent}{line.at_s:.3f} {line.instance} {event.name} {' '.join(shown)}"


def _is_number(word: str) -> bool:
    try:
        float(word)
    except ValueError:
        return False
    return True
