"""Settings of the C library's memory allocator."""

import ctypes

#: Number of the parameter in glibc's ``malloc.h``.
_M_MMAP_THRESHOLD = -3
#: Blocks of this size and more are mapped one by one and go back to the system when
#: they are freed. glibc's default begins at 131,072 and rises by itself: many buffers
#: that grow side by side then leave gaps between them. With 60 clients that read
#: nothing, 37 MB in use took 199 MB of memory.
LARGE_BLOCK_BYTES = 32_768


def return_large_blocks() -> bool:
    """Return freed large blocks to the system; False if the C library can't."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES) == 1
