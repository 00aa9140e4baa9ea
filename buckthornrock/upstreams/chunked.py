"""Incremental decoder of the chunked transfer coding for streamed bodies."""

MAX_SIZE_LINE_BYTES = 256
_END_OF_LINE = b"\r\n"


class FramingError(Exception):
    """The body violates the chunked transfer coding."""


class ChunkedBody:
    """Incremental decoder of one chunked body.

    Attributes
    ----------
    is_ended : bool
        Whether the last chunk and the empty line after it have been received.
    n_extra_bytes : int
        Number of bytes received after the end of the body.
    """

    def __init__(self) -> None:
        self.is_ended = False
        self.n_extra_bytes = 0
        self._buffer = b""
        self._n_remaining = 0
        self._is_last = False

    def feed(self, raw: bytes) -> bytes:
        """Return the body bytes that ``raw`` completes.

        Raises
        ------
        FramingError
            If the framing is malformed.
        """
        self._buffer += raw
        parts = []
        while self._buffer and not self.is_ended:
            if self._n_remaining > 0:
                parts.append(self._read_body())
                continue
            if not self._read_line():
                break
        if self.is_ended:
            self.n_extra_bytes += len(self._buffer)
            self._buffer = b""
        return b"".join(parts) if len(parts) != 1 else parts[0]

    def _read_body(self) -> bytes:
        part = self._buffer[: self._n_remaining]
        self._buffer = self._buffer[self._n_remaining :]
        self._n_remaining -= len(part)
        if self._n_remaining == 0:
            # -1 means that the line break after the chunk comes next. It is read as
            # an empty size line.
            self._n_remaining = -1
        return part

    def _read_line(self) -> bool:
        line, found, rest = self._buffer.partition(_END_OF_LINE)
        if not found:
            if len(self._buffer) > MAX_SIZE_LINE_BYTES:
                raise FramingError("a chunk size line is too long")
            return False
        self._buffer = rest
        if self._is_last:
            self.is_ended = not line
            return True
        if self._n_remaining == -1:
            if line:
                raise FramingError("a chunk is longer than its size")
            self._n_remaining = 0
            return True
        self._start_chunk(line)
        return True

    def _start_chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        try:
            self._n_remaining = int(size, 16)
        except ValueError as error:
            raise FramingError("a chunk size is not hexadecimal") from error
        if self._n_remaining < 0 or size[:1] in b"+-_":
            raise FramingError("a chunk size is not hexadecimal")
        self._is_last = self._n_remaining == 0
