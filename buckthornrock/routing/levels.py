"""Prefix levels of a prompt, and the rendezvous homes of each."""

from array import array
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..runtime.rendezvous import rank

#: Levels that are assumed where the caller states none, in blocks.
ASSUMED_LEVEL_N_BLOCKS = (16, 64, 256)


class Level(NamedTuple):
    """A prefix that other prompts may share."""

    n_blocks: int
    block_hash: int


def prefix_levels(
    chain: array, offsets: Sequence[int], block_bytes: int
) -> tuple[Level, ...]:
    """Return the levels of a prompt, shallow first.

    Parameters
    ----------
    chain : array
        The prompt's block hashes.
    offsets : sequence of int
        Byte offsets at which the caller's levels end; may be empty.
    block_bytes : int
        Bytes of a block.
    """
    ends = [offset // block_bytes for offset in offsets] or ASSUMED_LEVEL_N_BLOCKS
    whole = sorted({end for end in ends if 0 < end <= len(chain)})
    return tuple(Level(end, chain[end - 1]) for end in whole)


def n_shared_blocks(
    levels: Sequence[Level], offsets: Sequence[int], n_blocks: int
) -> int:
    """Return the blocks that other prompts are likely to share."""
    shared = [level.n_blocks for level in levels if level.n_blocks < n_blocks]
    if not shared:
        return levels[-1].n_blocks if levels and offsets else 0
    return shared[-1]


def homes(
    levels: Sequence[Level],
    upstream_ids: Sequence[str],
    n_homes: Callable[[Level], int],
) -> tuple[str, ...]:
    """Return the engines on which a prompt belongs, best first.

    A deeper level has its homes among those of the level above, so that a lot lies
    where its contract lies.
    """
    chosen = list(upstream_ids)
    for level in levels:
        key = level.block_hash.to_bytes(8, "little")
        chosen = rank(key, chosen)[: max(1, n_homes(level))]
    return tuple(chosen)
