"""Collects the body of one request from the bytes of its connection."""

import math
import mmap
import re
from collections.abc import Mapping
from typing import NamedTuple

from expression import Error, Ok, Result

#: Digits of a chunk's size, and bytes of a chunk's line with its extensions.
MAX_SIZE_DIGITS = 16
MAX_LINE_BYTES = 4_096
MAX_TRAILER_BYTES = 65_536
#: Parts of a chunked body that are taken before other connections and threads have
#: their turn. A chunk has three: its size, its data and its end.
MAX_PARTS_PER_TURN = 256
#: Larger bodies are collected in memory pages of their own. In the allocator's heap,
#: 220 bodies of up to 2 MB that grew at once took 301 MB where 160 MB were allowed.
#: Mapping smaller ones costs more time than receiving them.
MIN_MAPPED_BYTES = 262_144
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,%d}" % MAX_SIZE_DIGITS)


class BodyProblem(NamedTuple):
    """The request body could not be read."""

    reason: str
    status: int

    code = "bad-body"


MALFORMED = BodyProblem("the body ended early or is malformed", 400)
TOO_LARGE = BodyProblem("the body is too large", 413)
TOO_LATE = BodyProblem("the body did not arrive in time", 408)


class _Storage:
    """A growing sequence of bytes whose memory is returned at once when it is freed.

    Parameters
    ----------
    n_expected : int
        Final size, if it is known, else 0.
    """

    def __init__(self, n_expected: int) -> None:
        self._n_expected = n_expected
        self._small = bytearray()
        self._mapped: mmap.mmap | None = None

    def __len__(self) -> int:
        return self._mapped.tell() if self._mapped is not None else len(self._small)

    def append(self, part: bytes | bytearray) -> None:
        """Add bytes at the end."""
        n_bytes = len(self) + len(part)
        if self._mapped is None and n_bytes < MIN_MAPPED_BYTES:
            self._small += part
            return
        if self._mapped is None or n_bytes > len(self._mapped):
            self._grow(max(self._n_expected, 2 * n_bytes))
        self._mapped.write(part)

    def _grow(self, n_bytes: int) -> None:
        # mmap.resize() isn't used: pages behind the first size of an anonymous mapping
        # that is shared end the process with SIGBUS.
        larger = mmap.mmap(-1, n_bytes, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
        if self._mapped is None:
            larger.write(self._small)
            self._small = bytearray()
        else:
            larger.write(memoryview(self._mapped)[: len(self)])
            self._mapped.close()
        self._mapped = larger

    def take(self) -> bytes:
        """Return all bytes and free the storage."""
        if self._mapped is None:
            taken = bytes(self._small)
        else:
            taken = self._mapped[: len(self)]
        self.free()
        return taken

    def free(self) -> None:
        """Free the memory."""
        self._small = bytearray()
        if self._mapped is not None:
            self._mapped.close()
            self._mapped = None


class BodyCollector:
    """Collects a body whose end its length or the last chunk tells.

    Parameters
    ----------
    n_bytes : int or None
        Value of ``Content-Length``; None if the body is chunked.
    max_bytes : int
        Larger bodies are refused; 0 means no limit.

    Attributes
    ----------
    problem : BodyProblem or None
        Why the body can't be read.
    is_complete : bool
        Whether nothing more is expected, because the body is whole or unreadable.
    needs_data : bool
        Whether all that was received has been used; if not, :meth:`take` goes on.
    """

    def __init__(self, n_bytes: int | None, max_bytes: int) -> None:
        self.problem: BodyProblem | None = None
        self.is_complete = n_bytes == 0
        self.is_chunked = n_bytes is None
        self.needs_data = True
        self._body = _Storage(n_bytes or 0)
        self._max_bytes = max_bytes
        self._n_left = n_bytes or 0
        self._n_trailer_bytes = 0
        # The part of a chunked body that comes next.
        self._expects = self._take_size if self.is_chunked else self._take_data
        if max_bytes and (n_bytes or 0) > max_bytes:
            self.fail(TOO_LARGE)

    def __len__(self) -> int:
        return len(self._body)

    def fail(self, problem: BodyProblem) -> None:
        """End the body as unreadable."""
        self.problem = problem
        self.is_complete = True
        self.free()

    def free(self) -> None:
        """Free the memory of what was collected."""
        self._body.free()

    def take(self, received: bytearray, max_parts: float = math.inf) -> None:
        """Move what belongs to the body from the front of ``received``.

        At most ``max_parts`` parts of a chunked body are taken.
        """
        n_used = n_parts = 0
        self.needs_data = False
        while not self.is_complete and n_parts < max_parts:
            n_taken = self._expects(received, n_used)
            if n_taken == 0:
                self.needs_data = True
                break
            n_used += n_taken
            n_parts += 1
        del received[:n_used]

    def result(self) -> Result[bytes, BodyProblem]:
        """Return the complete body once, and drop it here."""
        if self.problem is not None:
            return Error(self.problem)
        if not self.is_complete:
            return Error(MALFORMED)
        return Ok(self._body.take())

    def _take_data(self, received: bytearray, start: int) -> int:
        part = received[start : start + self._n_left]
        self._body.append(part)
        self._n_left -= len(part)
        if self._n_left == 0:
            self.is_complete = not self.is_chunked
            self._expects = self._take_data_end
        return len(part)

    def _take_data_end(self, received: bytearray, start: int) -> int:
        if len(received) - start < 2:
            return 0
        if received[start : start + 2] != b"\r\n":
            self.fail(MALFORMED)
            return 0
        self._expects = self._take_size
        return 2

    def _take_size(self, received: bytearray, start: int) -> int:
        end = received.find(b"\n", start, start + MAX_LINE_BYTES)
        if end < 0:
            if len(received) - start >= MAX_LINE_BYTES:
                self.fail(MALFORMED)
            return 0
        text = received[start:end].partition(b";")[0].strip()
        if not _CHUNK_SIZE.fullmatch(text):
            self.fail(MALFORMED)
            return 0
        self._n_left = int(text, 16)
        self._expects = self._take_data if self._n_left else self._take_trailer
        if self._max_bytes and len(self._body) + self._n_left > self._max_bytes:
            self.fail(TOO_LARGE)
        return end + 1 - start

    def _take_trailer(self, received: bytearray, start: int) -> int:
        end = received.find(b"\n", start)
        if end < 0:
            if len(received) - start + self._n_trailer_bytes > MAX_TRAILER_BYTES:
                self.fail(MALFORMED)
            return 0
        n_taken = end + 1 - start
        self._n_trailer_bytes += n_taken
        if self._n_trailer_bytes > MAX_TRAILER_BYTES:
            self.fail(MALFORMED)
        self.is_complete = received[start:end].strip() == b"" or self.is_complete
        return n_taken


def body_collector(
    fields: Mapping[bytes, bytes], is_chunked: bool, max_bytes: int
) -> BodyCollector:
    """Return the collector for a request with these header fields.

    Parameters
    ----------
    fields : mapping of bytes to bytes
        Names are capitalised as cheroot does it.
    is_chunked : bool
        Whether the head names the chunked coding, which rules out a length.
    """
    if is_chunked:
        return BodyCollector(None, max_bytes)
    n_bytes = int(fields.get(b"Content-Length", 0))
    collector = BodyCollector(max(0, n_bytes), max_bytes)
    if n_bytes < 0:
        collector.fail(MALFORMED)
    return collector
