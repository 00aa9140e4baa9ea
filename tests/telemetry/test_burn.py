"""Burn counters, the merge of several instances, and the rendered reports."""

import math

import msgspec
import pytest

from buckthornrock.telemetry.burn import (
    OTHER_ACCOUNTS,
    BurnConfig,
    BurnCounters,
    BurnDocument,
)
from buckthornrock.telemetry.burn_html import render_html
from buckthornrock.telemetry.burn_report import merge_documents
from buckthornrock.telemetry.burn_text import report_lines
from buckthornrock.telemetry.decisions import open_decisions
from tests.telemetry.facts import build_facts

RULES = BurnConfig(
    objective=0.9, slot_ms=1_000.0, n_short_slots=5, n_slots=60, max_keys=4
)


class _Instance:
    def __init__(self, started_at_ms=0.0):
        self.burn = BurnCounters(RULES, started_at_ms)
        self.decisions = open_decisions(100, lambda: 0, self.burn.add)
        self._n = 0

    def request(self, at_ms, ttft_ms=50.0, outcome="whole", **fields):
        self._n += 1
        facts = build_facts(f"r{self._n}", **fields)
        self.decisions.begin(facts, at_ms - ttft_ms)
        self.decisions.on_first_token(facts.request_id, at_ms)
        self.decisions.end(facts.request_id, outcome, "", 4, at_ms)

    def document(self, now_ms, name="a"):
        # Encoded and decoded as JSON, as between an instance and the command.
        raw = msgspec.json.encode(self.burn.document(name, now_ms))
        return msgspec.json.decode(raw, type=BurnDocument)


def _row(report, account="shop"):
    return next(b for b in report.accounts if b.client_account == account)


OUTCOMES = [
    ({"ttft_ms": 50.0}, 1, 0),
    ({"ttft_ms": 150.0}, 1, 1),
    ({"ttft_ms": 50.0, "outcome": "too-late"}, 1, 1),
    ({"ttft_ms": 50.0, "outcome": "caller-gone"}, 0, 0),
    ({"ttft_ms": 50.0, "outcome": "limit-reached"}, 0, 0),
    ({"ttft_ms": 150.0, "is_deferrable": True}, 1, 0),
]


@pytest.mark.parametrize(("fields", "n", "n_bad"), OUTCOMES)
def test_outcome_is_counted_or_excluded(fields, n, n_bad):
    instance = _Instance()
    instance.request(1_000.0, **fields)
    rows = instance.document(1_000.0).rows
    assert sum(r.n_long for r in rows) == n
    assert sum(r.n_long_bad for r in rows) == n_bad


def test_windows_drop_old_slots():
    instance = _Instance()
    instance.request(1_000.0, ttft_ms=150.0)
    for now_ms, n_short, n_long in (
        (1_000.0, 1, 1),
        (5_999.0, 1, 1),
        (6_000.0, 0, 1),
        (60_999.0, 0, 1),
        (61_000.0, 0, 0),
        (500_000.0, 0, 0),
    ):
        row = instance.document(now_ms).rows[0]
        assert (row.n_short, row.n_long) == (n_short, n_long), now_ms


def test_burn_and_time_to_exhaustion():
    instance = _Instance()
    for index in range(100):
        instance.request(40_000.0 + index, ttft_ms=150.0 if index < 5 else 50.0)
    for index in range(100):
        instance.request(58_000.0 + index, ttft_ms=150.0 if index < 5 else 50.0)
    burn = _row(merge_documents([instance.document(59_000.0)], ()))
    # 5 of 100 requests are late, and the objective allows 10.
    assert burn.burn_short == pytest.approx(0.5)
    assert burn.burn_long == pytest.approx(0.5)
    assert burn.budget_left == pytest.approx(0.5)
    assert burn.exhausted_in_ms == pytest.approx(60_000.0)


@pytest.mark.parametrize(("n_late", "expected_ms"), [(0, math.inf), (10, 0.0)])
def test_exhaustion_of_untouched_and_spent_budget(n_late, expected_ms):
    instance = _Instance()
    for index in range(10):
        instance.request(1_000.0, ttft_ms=150.0 if index < n_late else 50.0)
    burn = _row(merge_documents([instance.document(1_000.0)], ()))
    assert burn.exhausted_in_ms == expected_ms


def test_merge_sums_instances_and_reports_missing_counts():
    old, new = _Instance(), _Instance(started_at_ms=55_000.0)
    old.request(58_000.0)
    new.request(58_000.0, ttft_ms=150.0)
    documents = [old.document(60_000.0, "old"), new.document(60_000.0, "new")]
    report = merge_documents(documents, ["10.0.0.9:9001"])
    assert (_row(report).n_long, _row(report).n_long_bad) == (2, 1)
    text = "\n".join(report_lines(report))
    assert "NOT REACHED: 10.0.0.9:9001" in text
    assert "new counts only the last 5 s" in text
    assert "old counts only" not in text


def test_accounts_beyond_the_bound_are_counted_together():
    instance = _Instance()
    for index in range(10):
        instance.request(1_000.0, account=f"account-{index}")
    document = instance.document(1_000.0)
    assert len(document.rows) == RULES.max_keys + 1
    assert sum(r.n_long for r in document.rows) == 10
    assert document.n_uncounted_accounts == 6
    others = [r for r in document.rows if r.client_account == OTHER_ACCOUNTS]
    assert others[0].n_long == 6


def test_worst_requests_are_slowest_late_ones():
    instance = _Instance()
    for ttft_ms in (110.0, 900.0, 120.0, 130.0, 140.0, 150.0, 160.0):
        instance.request(2_000.0, ttft_ms=ttft_ms)
    worst = instance.document(2_000.0).classes[0].worst
    assert [record.ttft_ms for record in worst] == [900.0, 160.0, 150.0, 140.0, 130.0]


def test_page_is_self_contained_and_escaped():
    instance = _Instance()
    instance.request(1_000.0, ttft_ms=150.0, account="<script>")
    report = merge_documents([instance.document(1_000.0)], ["10.0.0.9:9001"])
    page = render_html(report, "now")
    assert "<script>" not in page
    assert "http" not in page.replace("http-equiv", "")
    assert page.count("<svg") == page.count("</svg>") == 2
    assert page.count("<section") == page.count("</section>") == 1
    assert "10.0.0.9:9001" in page
