"""Prefix levels of a prompt, and the preferred engines of each.

A prefix level is a leading part of the prompt that ends at a block boundary and that
other prompts may share. The preferred engines of a level are those that rendezvous
hashing ranks first for it.
"""

from array import array
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..runtime.rendezvous import rank

#: Lengths in blocks of the levels that are assumed if the caller states none.
ASSUMED_LEVEL_N_BLOCKS = (16, 64, 256)


class Level(NamedTuple):
    """A prefix that other prompts may share."""

    n_blocks: int
    block_hash: int


def prefix_levels(
    chain: array, offsets: Sequence[int], block_bytes: int
) -> tuple[Level, ...]:
    """Return the levels of a prompt, the shortest first.

    Parameters
    ----------
    chain : array
        The prompt's block hashes.
    offsets : sequence of int
        Byte offsets at which the levels end that the caller stated; may be empty.
    block_bytes : int
        Bytes of a block.
    """
    ends = [offset // block_bytes for offset in offsets] or ASSUMED_LEVEL_N_BLOCKS
    whole = sorted({end for end in ends if 0 < end <= len(chain)})
    return tuple(Level(end, chain[end - 1]) for end in whole)


def n_shared_blocks(
    levels: Sequence[Level], offsets: Sequence[int], n_blocks: int
) -> int:
    """Return the number of leading blocks that other prompts are likely to share."""
    shared = [level.n_blocks for level in levels if level.n_blocks < n_blocks]
    if not shared:
        return levels[-1].n_blocks if levels and offsets else 0
    return shared[-1]


def preferred_engines(
    levels: Sequence[Level],
    upstream_ids: Sequence[str],
    n_preferred: Callable[[Level], int],
) -> tuple[str, ...]:
    """Return the preferred engines of a prompt, the best first.

    The preferred engines of a longer level are chosen among those of the next shorter
    one, so that a longer prefix (a lot's, say) goes where its beginning (the
    contract's) is already cached.
    """
    chosen = list(upstream_ids)
    for level in levels:
        key = level.block_hash.to_bytes(8, "little")
        chosen = rank(key, chosen)[: max(1, n_preferred(level))]
    return tuple(chosen)
