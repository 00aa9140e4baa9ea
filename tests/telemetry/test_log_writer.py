"""The log never blocks its writers, and reports how many lines it dropped."""

import io
import threading

import pytest

from buckthornrock.events import CATALOGUE
from buckthornrock.events import gateway as events
from buckthornrock.telemetry import open_log
from buckthornrock.telemetry.log_writer import MAX_QUEUED_CHARS, LogWriter

INFO = '{"level":"info"}\n'
WARNING = '{"level":"warning"}\n'


class BlockedStream:
    """A destination that blocks each write until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.lines = []

    def write(self, line):
        self.released.wait()
        self.lines.append(line)

    def flush(self):
        pass


def test_blocked_destination_blocks_no_writer_and_info_lines_are_dropped_first():
    stream = BlockedStream()
    writer = LogWriter(stream, max_queued=100)
    for _ in range(1_000):
        writer.write(INFO)
    for _ in range(30):
        writer.write(WARNING)
    stream.released.set()
    writer.close(10.0)
    assert stream.lines.count(WARNING) == 30
    n_info = stream.lines.count(INFO)
    assert 40 <= n_info <= 60
    summaries = [line for line in stream.lines if "log_lines_left_out" in line]
    assert summaries and f'"n_lines":{1_000 - n_info}' in summaries[0]


def test_events_reach_the_destination():
    stream = BlockedStream()
    stream.released.set()
    writer = LogWriter(stream)
    open_log(writer)(events.STOPPED, instance_id="i1", n_cut_requests=0)
    writer.close(10.0)
    assert '"instance_id":"i1"' in stream.lines[0]
    assert isinstance(stream.lines[0], str)


def test_lines_keep_their_order():
    stream = BlockedStream()
    stream.released.set()
    writer = LogWriter(stream)
    for number in range(50):
        writer.write(f"{number}\n")
    writer.close(10.0)
    assert stream.lines == [f"{number}\n" for number in range(50)]


def test_closed_destination_does_not_stop_the_writer():
    class ClosedStream:
        def write(self, line):
            raise BrokenPipeError

        def flush(self):
            raise BrokenPipeError

    writer = LogWriter(ClosedStream())
    writer.write(WARNING)
    writer.close(10.0)
    assert writer.n_dropped >= 1


def test_count_of_dropped_lines_survives_a_failed_summary():
    class FullOnce(BlockedStream):
        has_failed = False

        def write(self, line):
            super().write(line)
            if "log_lines_left_out" in line and not self.has_failed:
                self.has_failed = True
                self.lines.pop()
                raise OSError("no space left")

    stream = FullOnce()
    writer = LogWriter(stream, max_queued=100)
    for _ in range(1_000):
        writer.write(INFO)
    stream.released.set()
    writer.close(10.0)
    n_dropped = 1_000 - stream.lines.count(INFO)
    summaries = [line for line in stream.lines if "log_lines_left_out" in line]
    assert len(summaries) == 1
    assert f'"n_lines":{n_dropped}' in summaries[0]
    assert writer.n_dropped == 0


def test_long_lines_fill_the_queue_before_their_number_does():
    """Request ids that clients choose would otherwise take 64 MB of memory."""
    stream = BlockedStream()
    writer = LogWriter(stream)
    line = '{"level":"warning","request_id":"%s"}\n' % ("x" * 16_384)
    for _ in range(1_000):
        writer.write(line)
    stream.released.set()
    writer.close(10.0)
    n_written = stream.lines.count(line)
    assert MAX_QUEUED_CHARS * 0.9 < n_written * len(line) <= MAX_QUEUED_CHARS * 1.1


@pytest.fixture(scope="module")
def log():
    return open_log(io.StringIO())


@pytest.mark.parametrize("event", CATALOGUE.values(), ids=lambda event: event.name)
def test_every_event_can_be_logged(log, event):
    """A field with the name of a part of each line made its request end in a 502."""
    log(event, **dict.fromkeys(event.fields, 1))
