"""Settings of the C library's memory allocator."""

import ctypes

#: Number of the parameter in glibc's ``malloc.h``.
_M_MMAP_THRESHOLD = -3
#: Blocks of this size and more are mapped one by one and go back to the system when
#: they are freed. It is glibc's default, which otherwise rises by itself: buffers that
#: grow side by side then leave gaps between them. With 60 clients that hold 38 MB, the
#: process took 93 to 113 MB with the rising size and 82 to 91 MB with this one; with
#: 32,768, a request with a body of 4 MiB cost 2 ms more.
LARGE_BLOCK_BYTES = 131_072


def return_large_blocks() -> bool:
    """Return freed large blocks to the system; False if the C library can't."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES) == 1
