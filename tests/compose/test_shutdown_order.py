"""The order of a graceful stop, with servers that only note what is done to them."""

from types import SimpleNamespace

import pytest

from buckthornrock.compose.shutdown import Servers, stop_gracefully
from buckthornrock.entry.draining import DrainState


class NotedServer:
    """Has as many open requests as the next of ``n_open`` says."""

    def __init__(self, name, notes, n_open=()):
        self._name = name
        self._notes = notes
        self._n_open = list(n_open)

    def n_busy(self):
        n_busy = self._n_open.pop(0) if len(self._n_open) > 1 else self._n_open[0]
        self._notes.append(f"busy {n_busy}")
        return n_busy

    def stop_accepting(self):
        self._notes.append("stop accepting")

    def close_idle(self):
        self._notes.append("close idle")

    def respond_to_open(self, respond):
        self._notes.append("answer open")

    def stop(self):
        self._notes.append(f"stop {self._name}")


def make_core(notes, limit_ms):
    now = [0.0]

    def sleep_ms(duration_ms):
        now[0] += duration_ms

    def fail():
        raise ValueError("a drainer that fails must not keep the others")

    return SimpleNamespace(
        settings=SimpleNamespace(
            instance_id="i",
            entry=SimpleNamespace(drain_grace_ms=100, drain_limit_ms=limit_ms),
        ),
        clock=SimpleNamespace(now_ms=lambda: now[0], sleep_ms=sleep_ms),
        telemetry=SimpleNamespace(
            log=lambda event, **fields: notes.append(event.name.partition(".")[2])
        ),
        loops=[SimpleNamespace(stop=lambda: notes.append("stop loop"))],
        timer=SimpleNamespace(stop=lambda: notes.append("stop timer")),
        drainers=[fail, lambda: notes.append("drain")],
        closers=[lambda: notes.append("close 1"), lambda: notes.append("close 2")],
    )


CASES = [
    ([2, 2, 1, 0, 1, 0], 10_000, 0),
    ([3], 1_000, 3),
    ([0], 1_000, 0),
]


@pytest.mark.parametrize(("n_open", "limit_ms", "n_cut"), CASES)
def test_parts_are_stopped_in_order(n_open, limit_ms, n_cut):
    notes = []
    core = make_core(notes, limit_ms)
    servers = Servers(
        NotedServer("entry", notes, n_open), NotedServer("operator", notes)
    )
    draining = DrainState()
    assert stop_gracefully(core, servers, draining) == n_cut
    assert not draining.is_ready()
    bare = [note for note in notes if not note.startswith("busy")]
    assert bare == [
        "stopping",
        "step_failed",
        "drain",
        "stop accepting",
        "close idle",
        *(["answer open"] if n_cut else []),
        "stop loop",
        "stop timer",
        "close 2",
        "close 1",
        "stop entry",
        "stop operator",
        "stopped",
    ]
    before = notes[notes.index("stop accepting") + 1 : notes.index("close idle")]
    after = notes[notes.index("close idle") + 1 : notes.index("stop loop")]
    assert len(before) >= 3
    if not n_cut:
        assert before[-3:] == ["busy 0"] * 3
        assert after[-3:] == ["busy 0"] * 3
