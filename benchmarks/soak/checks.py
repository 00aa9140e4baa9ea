"""Checks of a run's record; each names the requests that show a violation.

A request of an instance that was disturbed is judged by bounds of time only if it was
sent ``Bounds.stable_s`` after the disturbance. Configuration changes disturb no one.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import NamedTuple

from . import contents
from .deployment import LIMITED, VERSIONS
from .record import (
    Answered,
    Arrived,
    Configured,
    Crashed,
    Ended,
    Lagged,
    Left,
    Limit,
    PartUsed,
    Record,
    Sampled,
    Sent,
    Started,
    digests_of,
)
from .violations import Violation, disturbances, is_in_touch
from .weights_checks import orders_fenced, weights_version

NO_LIMIT = Limit(0.0, 0.0)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
ROUTES_ONCE = frozenset(("pay", "long"))


def at_most_once(record: Record) -> list[Violation]:
    """Find calls that aren't idempotent and ran more than once."""
    sent = record.sent_by_id()
    ran = Counter(a.request_id for a in record.all_of(Arrived) if a.has_run)
    return [
        Violation("at-most-once", f"it ran {n} times", (request_id,))
        for request_id, n in ran.items()
        if n > 1 and request_id in sent and sent[request_id].route in ROUTES_ONCE
    ]


def not_run(record: Record) -> list[Violation]:
    """Find requests refused as not run that ran, before or after the refusal."""
    ran = {a.request_id for a in record.all_of(Arrived) if a.has_run}
    return [
        Violation("not-run", f"it ran, though refused with {a.status}", (a.request_id,))
        for a in record.all_of(Answered)
        if a.status in NOT_RUN_STATUSES and a.request_id in ran
    ]


def whole_and_own(record: Record) -> list[Violation]:
    """Find responses that are not whole or belong to another request."""
    sent = record.sent_by_id()
    found = []
    for answered in record.all_of(Answered):
        request = sent[answered.request_id]
        expected = contents.response_body(
            request.route, request.request_id, request.body
        )
        reason = ""
        if answered.status != 200:
            continue
        if answered.echoed_id not in ("", answered.request_id):
            reason = f"it is the response to {answered.echoed_id}"
        elif not answered.stamp:
            reason = "it lacks the stamp of an upstream"
        elif answered.is_whole and answered.body != expected:
            n_got, n_expected = len(answered.body), len(expected)
            reason = f"{n_got} bytes differ from the {n_expected} expected"
        elif not expected.startswith(answered.body):
            reason = "the part that arrived is not its beginning"
        if reason:
            found.append(Violation("whole-and-own", reason, (answered.request_id,)))
    return found


def request_unchanged(record: Record) -> list[Violation]:
    """Find requests that reached an upstream in another form than they were sent."""
    sent = record.sent_by_id()
    return [
        Violation("request-unchanged", "its body was changed", (a.request_id,))
        for a in record.all_of(Arrived)
        if a.request_id not in sent or a.body != sent[a.request_id].body
    ]


def drained(record: Record) -> list[Violation]:
    """Find requests that reached an upstream too late after it left."""
    sent = record.sent_by_id()
    left_s = {left.upstream_id: left.at_s for left in record.all_of(Left)}
    found = []
    for arrived in record.all_of(Arrived):
        if arrived.upstream_id not in left_s:
            continue
        late_s = arrived.at_s - left_s[arrived.upstream_id]
        request = sent.get(arrived.request_id)
        if late_s <= record.bounds.drain_s or request is None:
            continue
        if is_in_touch(record, request, arrived.at_s, arrived.upstream_id):
            reason = f"it reached {arrived.upstream_id} {late_s:.2f} s after it left"
            found.append(Violation("drained", reason, (arrived.request_id,)))
    return found


def cache_salt(record: Record) -> list[Violation]:
    """Find cached parts that an isolated account shared with another one.

    An account counts as isolated for a request that was sent when the version of the
    configuration that says so had been in force for its bound.
    """
    sent = record.sent_by_id()
    found = []
    for used in record.all_of(PartUsed):
        request = sent.get(used.request_id)
        if used.account == used.maker or request is None:
            continue
        if not is_in_touch(record, request, used.at_s):
            continue
        from_s = request.at_s - record.bounds.config_s
        isolated = _isolated_between(record, from_s, used.at_s)
        if separated := isolated & {used.account, used.maker}:
            reason = (
                f"{used.account} used part {used.part} of {used.maker}, while"
                f" {', '.join(sorted(separated))} was isolated"
            )
            ids = (used.request_id, used.maker_id)
            found.append(Violation("cache-salt", reason, ids))
    return found


def crashes_bounded(record: Record) -> list[Violation]:
    """Find parts that crashed engines and were not kept away from them."""
    sent, bounds = record.sent_by_id(), record.bounds
    by_part = defaultdict(list)
    for crash in record.all_of(Crashed):
        by_part[crash.part].append(crash)
    found = []
    for part, crashes in by_part.items():
        # Requests that one crash interrupted count once.
        ended: dict[str, float] = {}
        for crash in crashes:
            ended.setdefault(crash.upstream_id, crash.at_s)
        times_s = sorted(ended.values())
        if len(times_s) < bounds.n_free_crashes:
            continue
        from_s = times_s[bounds.n_free_crashes - 1] + bounds.stable_s
        late = [
            a.request_id
            for a in record.all_of(Arrived)
            if (request := sent.get(a.request_id)) is not None
            and part in request.parts
            and request.at_s > from_s
            and is_in_touch(record, request, a.at_s, digests_of(request.instance))
        ]
        if len(late) > bounds.max_crash_requests:
            reason = f"{len(late)} requests with part {part} came after the fifth crash"
            found.append(Violation("crashes-bounded", reason, tuple(late)))
    return found


def quotas(record: Record) -> list[Violation]:
    """Find windows in which upstreams ran more of an account than its quota.

    Judged only for accounts with a limit. While the limit changes, the highest of
    those in force in the window or up to the configuration's bound before it counts.
    """
    bounds, sent = record.bounds, record.sent_by_id()
    ran: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    seen = set()
    for arrived in record.all_of(Arrived):
        request = sent.get(arrived.request_id)
        if request is None or not arrived.has_run or arrived.request_id in seen:
            continue
        seen.add(arrived.request_id)
        limits = _limits_between(record, request.account, -math.inf, arrived.at_s)
        limited = [limit for limit in limits if limit.rate_per_s]
        if limited:
            cost = _cost(request, limited[-1])
            ran[request.account].append((arrived.at_s, cost, arrived.request_id))
    found = []
    for account, runs in ran.items():
        found += _windows_over(record, account, sorted(runs), bounds.quota_window_s)
    return found


def _windows_over(record, account, runs, window_s) -> list[Violation]:
    bounds, first, total = record.bounds, 0, 0.0
    for last, (at_s, cost, _) in enumerate(runs):
        total += cost
        while runs[first][0] <= at_s - window_s:
            total -= runs[first][1]
            first += 1
        from_s = at_s - window_s - bounds.config_s
        limits = _limits_between(record, account, from_s, at_s)
        if any(not limit.rate_per_s for limit in limits):
            continue
        highest = max(limit.rate_per_s * window_s + limit.burst for limit in limits)
        allowed = highest * (1.0 + bounds.quota_overage) + bounds.quota_slack
        if total > allowed:
            ids = tuple(run[2] for run in runs[first : last + 1])
            reason = f"{account}: {total:.0f} in a window, {allowed:.0f} allowed"
            # The windows after the first one over the limit would repeat its requests.
            return [Violation("quotas", reason, ids)]
    return []


def configuration_rises(record: Record) -> list[Violation]:
    """Find processes in which an older configuration came back into force.

    A key that only one version knows was accepted after a later version's was.
    """
    accepted_s = {
        a.request_id: a.at_s for a in record.all_of(Answered) if a.status == 200
    }
    starts = record.all_of(Started)
    probes = []
    for sent in record.all_of(Sent):
        if sent.account == VERSIONS and sent.request_id in accepted_s:
            n_starts = sum(
                start.instance == sent.instance and start.at_s <= sent.at_s
                for start in starts
            )
            version = int(sent.key.rpartition("-")[2])
            probes.append((sent, (sent.instance, n_starts), version))
    found = []
    for later, process, version in probes:
        for earlier, other_process, other_version in probes:
            is_before = accepted_s[earlier.request_id] < later.at_s
            if process == other_process and is_before and version < other_version:
                reason = f"{later.instance} accepted {version} after {other_version}"
                ids = (later.request_id, earlier.request_id)
                found.append(Violation("configuration-rises", reason, ids))
                break
    return found


def resources(record: Record) -> list[Violation]:
    """Find processes that exceeded memory or descriptors, or ended by themselves.

    The requests that were open at that instance are named.
    """
    bounds, found = record.bounds, []
    for sample in record.all_of(Sampled):
        reason = ""
        if sample.memory_mb > bounds.memory_mb:
            reason = f"{sample.memory_mb:.0f} MB of {bounds.memory_mb:.0f}"
        elif sample.n_fds > bounds.max_fds:
            reason = f"{sample.n_fds} descriptors of {bounds.max_fds}"
        if reason:
            ids = _open_at(record, sample.instance, sample.at_s)
            found.append(Violation("resources", f"{sample.instance}: {reason}", ids))
    for ended in record.all_of(Ended):
        ids = _open_at(record, ended.instance, ended.at_s)
        reason = f"{ended.instance} ended with {ended.code}"
        found.append(Violation("resources", reason, ids))
    return found


def answered_in_calm(record: Record) -> list[Violation]:
    """Find requests that got no upstream's response in calm conditions."""
    bounds = record.bounds
    answers = {a.request_id: a for a in record.all_of(Answered)}
    disturbed = disturbances(record)
    crashes_s = [crash.at_s for crash in record.all_of(Crashed)]
    found = []
    for sent in record.all_of(Sent):
        answer = answers.get(sent.request_id)
        if sent.account in (VERSIONS, LIMITED) or answer is None or answer.has_left:
            continue
        from_s = sent.at_s - bounds.calm_s
        if any(d.at_s <= answer.at_s and d.until_s >= from_s for d in disturbed):
            continue
        if any(from_s <= at_s <= answer.at_s for at_s in crashes_s):
            continue
        if any(crash.part in sent.parts for crash in record.all_of(Crashed)):
            continue
        if answer.status == 200 and answer.is_whole:
            continue
        reason = f"{answer.status} {answer.error or answer.body[:200]!r} in calm"
        found.append(Violation("answered-in-calm", reason, (sent.request_id,)))
    return found


Check = Callable[[Record], list[Violation]]
CHECKS: tuple[Check, ...] = (
    at_most_once,
    not_run,
    whole_and_own,
    request_unchanged,
    drained,
    cache_salt,
    crashes_bounded,
    quotas,
    configuration_rises,
    weights_version,
    orders_fenced,
    resources,
    answered_in_calm,
)
#: Checks with bounds of time, whose violations are void on a machine that was too slow.
TIMED_CHECKS = frozenset(
    (
        "drained",
        "cache-salt",
        "crashes-bounded",
        "quotas",
        "answered-in-calm",
        "weights-version",
        "orders-fenced",
    )
)
#: The shortest bound, the drain time, leaves 1.5 s above what is usual.
MAX_LAG_MS = 700.0
#: Longest time for which a process may wait for a core in one second.
MAX_STARVED_MS = 700.0


class Verdict(NamedTuple):
    """Whether a run "passed", "failed" or is "void", and why."""

    outcome: str
    violations: list[Violation]
    void_reason: str = ""


def judge(record: Record, void_reason: str = "") -> Verdict:
    """Apply all checks; on a slow machine only those without bounds of time fail."""
    if void_reason:
        return Verdict("void", [], void_reason)
    violations = [violation for check in CHECKS for violation in check(record)]
    slow = slowness(record)
    if any(v.is_untimed or v.check not in TIMED_CHECKS for v in violations):
        return Verdict("failed", violations, slow)
    if slow:
        return Verdict("void", violations, slow)
    return Verdict("failed" if violations else "passed", violations)


def slowness(record: Record) -> str:
    """Return why bounds of time can't be judged, "" if they can."""
    lag_ms = max((lag.lag_ms for lag in record.all_of(Lagged)), default=0.0)
    starved_ms = max((s.starved_ms for s in record.all_of(Sampled)), default=0.0)
    if lag_ms > MAX_LAG_MS:
        return f"the tool's event loop was {lag_ms:.0f} ms late"
    if starved_ms > MAX_STARVED_MS:
        return f"an instance waited {starved_ms:.0f} ms for a core"
    return ""


def _isolated_between(record: Record, from_s: float, to_s: float) -> frozenset[str]:
    """Return the accounts that were isolated all that time."""
    in_force = _versions_between(record, from_s, to_s)
    return frozenset.intersection(*(c.isolated for c in in_force))


def _limits_between(record: Record, account, from_s, to_s) -> list[Limit]:
    in_force = _versions_between(record, from_s, to_s)
    return [c.limits.get(account, NO_LIMIT) for c in in_force]


def _versions_between(record: Record, from_s: float, to_s: float) -> list[Configured]:
    """Return the newest version at ``from_s`` and those until ``to_s``."""
    versions = sorted(record.all_of(Configured), key=lambda c: c.at_s)
    before = [c for c in versions if c.at_s <= from_s]
    inside = [c for c in versions if from_s < c.at_s <= to_s]
    return (before[-1:] or versions[:1]) + inside


def _cost(sent: Sent, limit: Limit) -> float:
    if not limit.counts_tokens:
        return 1.0
    return sent.n_tokens or limit.plain_tokens


def _open_at(record: Record, instance: str, at_s: float) -> tuple[str, ...]:
    answered = {a.request_id: a.at_s for a in record.all_of(Answered)}
    return tuple(
        s.request_id
        for s in record.all_of(Sent)
        if s.instance == instance and s.at_s <= at_s <= answered.get(s.request_id, at_s)
    )
