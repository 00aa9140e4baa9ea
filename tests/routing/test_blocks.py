"""Block hashes of prompts."""

from buckthornrock.routing.blocks import MAX_CHAIN_N_BLOCKS, BlockHasher

SALT = "ab" * 16
BLOCK_BYTES = 64


def test_huge_prompt_is_hashed_only_up_to_the_limit():
    hasher = BlockHasher(BLOCK_BYTES)
    limit_bytes = MAX_CHAIN_N_BLOCKS * BLOCK_BYTES
    prompt = b"contract" * (limit_bytes // 4)
    assert len(prompt) > limit_bytes
    chain = hasher.chain(SALT, prompt)
    assert len(chain) == MAX_CHAIN_N_BLOCKS
    assert chain == hasher.chain(SALT, prompt[:limit_bytes])
