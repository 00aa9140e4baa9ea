"""Rendered metrics have cumulative buckets, bounded labels and known names only."""

import pytest

from buckthornrock.telemetry.exposition import MAX_LABELS, OTHER_LABEL, open_exposition
from buckthornrock.telemetry.metrics import GATEWAY_REQUESTS, GATEWAY_WAITED_MS


def test_counters_and_histograms_are_rendered():
    exposition = open_exposition()
    exposition.metrics.incr(GATEWAY_REQUESTS, label="stream.served")
    exposition.metrics.incr(GATEWAY_REQUESTS, 2, label="stream.served")
    for value_ms in (0.5, 1.0, 30.0, 99_999.0):
        exposition.metrics.timing(GATEWAY_WAITED_MS, value_ms, label="stream")
    text = exposition.render()
    assert 'buckthornrock_gateway_requests{label="stream.served"} 3' in text
    name = "buckthornrock_gateway_waited_ms"
    assert f'{name}_bucket{{label="stream",le="1"}} 2' in text
    assert f'{name}_bucket{{label="stream",le="50"}} 3' in text
    assert f'{name}_bucket{{label="stream",le="+Inf"}} 4' in text
    assert f'{name}_count{{label="stream"}} 4' in text


def test_labels_are_bounded():
    exposition = open_exposition()
    for number in range(MAX_LABELS + 50):
        exposition.metrics.incr(GATEWAY_REQUESTS, label=f"l{number}")
    text = exposition.render()
    assert f'{{label="{OTHER_LABEL}"}} 50' in text


def test_unknown_name_raises():
    with pytest.raises(KeyError):
        open_exposition().metrics.incr("unknown")


@pytest.mark.parametrize(
    ("label", "rendered"),
    [('a"b', r"a\"b"), ("a\\b", r"a\\b"), ("a\nb", r"a\nb"), ("é", "é")],
)
def test_label_values_are_escaped(label, rendered):
    exposition = open_exposition()
    exposition.metrics.incr(GATEWAY_REQUESTS, label=label)
    exposition.metrics.timing(GATEWAY_WAITED_MS, 1.0, label=label)
    labels = [line for line in exposition.render().splitlines() if "label=" in line]
    assert labels
    assert all(f'label="{rendered}"' in line for line in labels)
