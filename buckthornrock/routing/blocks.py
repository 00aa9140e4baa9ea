"""Chained block hashes of prompts, keyed by the cache salt.

The hash of a block covers its bytes and the hash of the block before it, so equal
hashes mean equal prefixes. The engines compute the same hashes and state them in their
cache events.
"""

import hashlib
from array import array
from collections import OrderedDict
from collections.abc import Iterable

DIGEST_BYTES = 8
#: Blocks per segment. The hashes of a segment are cached together, by its bytes.
SEGMENT_N_BLOCKS = 32
#: Number of cached segments; at 64-byte blocks one takes about 2.5 KB.
MAX_SEGMENTS = 1_024
#: Most blocks of one prompt that are hashed, so that a huge prompt doesn't delay the
#: others.
MAX_CHAIN_N_BLOCKS = 16_384


class BlockHasher:
    """Hashes prompts and caches the hashes of recent prompt segments.

    Parameters
    ----------
    block_bytes : int
        Bytes of one block of a rendered prompt.
    max_segments : int
        Number of segments that are cached.
    """

    def __init__(self, block_bytes: int, max_segments: int = MAX_SEGMENTS) -> None:
        self._block_bytes = block_bytes
        self._max_segments = max_segments
        self._segments: OrderedDict[tuple[bytes, bytes, bytes], bytes] = OrderedDict()

    def chain(self, salt: str, prompt: bytes) -> array:
        """Return one 64-bit hash per whole block, at most MAX_CHAIN_N_BLOCKS."""
        key = bytes.fromhex(salt)
        n_blocks = min(len(prompt) // self._block_bytes, MAX_CHAIN_N_BLOCKS)
        n_whole_bytes = n_blocks * self._block_bytes
        segment_bytes = SEGMENT_N_BLOCKS * self._block_bytes
        parent = b""
        chain = array("Q")
        for start in range(0, n_whole_bytes, segment_bytes):
            segment = prompt[start : min(start + segment_bytes, n_whole_bytes)]
            digests = self._segment_digests(key, parent, segment)
            chain.frombytes(digests)
            parent = digests[-DIGEST_BYTES:]
        return chain

    def _segment_digests(self, key: bytes, parent: bytes, segment: bytes) -> bytes:
        # A short segment is the end of a prompt, which is rarely repeated.
        if len(segment) < SEGMENT_N_BLOCKS * self._block_bytes:
            return self._hash(key, parent, segment)
        entry = (key, parent, segment)
        digests = self._segments.get(entry)
        if digests is not None:
            self._segments.move_to_end(entry)
            return digests
        digests = self._hash(key, parent, segment)
        self._segments[entry] = digests
        if len(self._segments) > self._max_segments:
            self._segments.popitem(last=False)
        return digests

    def _hash(self, key: bytes, parent: bytes, segment: bytes) -> bytes:
        digests = []
        for start in range(0, len(segment), self._block_bytes):
            block = segment[start : start + self._block_bytes]
            digest = hashlib.blake2b(parent + block, digest_size=DIGEST_BYTES, key=key)
            parent = digest.digest()
            digests.append(parent)
        return b"".join(digests)


def hashes_from_hex(hashes: Iterable[str]) -> array:
    """Return the 64-bit hashes that a cache event states in hexadecimal.

    Raises
    ------
    ValueError
        If a hash is not 16 hexadecimal digits.
    """
    chain = array("Q")
    chain.frombytes(bytes.fromhex("".join(hashes)))
    return chain


def hex_from_hashes(hashes: array) -> list[str]:
    """Return the hexadecimal form of 64-bit hashes."""
    joined = hashes.tobytes().hex()
    n_digits = 2 * DIGEST_BYTES
    return [joined[at : at + n_digits] for at in range(0, len(joined), n_digits)]
