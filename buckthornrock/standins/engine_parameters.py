"""What an emulated engine is able to do, and how its prompts become blocks."""

import hashlib
from typing import NamedTuple

import msgspec

BLOCK_BYTES = 64
TOKEN_BYTES = 4
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES


class EngineParameters(NamedTuple):
    """Capabilities of one emulated engine.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Shared by all prompts that are being prefilled.
    inter_token_ms : float
        Duration of a decode step with one sequence.
    decode_growth_ms : float
        What each further sequence adds to a decode step.
    max_batch : int
        Sequences that run at once; the others wait in order of priority.
    max_step_tokens : int
        Prompt tokens that one step prefills at most.
    tokens_per_event : int
        Tokens that are sent together, after the first.
    n_cache_blocks : int
        Size of the block cache, which evicts the least recently used block.
    cache_retention_ms : float
        Blocks unused for this long are evicted as well; 0 keeps them.
    load_lag_ms, events_lag_ms : float
        Age of a load report, and of the newest cache event in the feed.
    event_loss : float
        Share of cache events that never appear in the feed.
    n_kept_events : int
        Cache events that the feed remembers.
    transfer_blocks_per_s : float
        Rate of exports and imports of cached blocks.
    resume_window_ms : float
        How long a stream goes on without a reader before it is cancelled.
    """

    models: tuple[str, ...] = ("small",)
    weights_version: str = "w1"
    prefill_tokens_per_s: float = 20_000.0
    inter_token_ms: float = 5.0
    decode_growth_ms: float = 0.2
    max_batch: int = 16
    max_step_tokens: int = 2_048
    tokens_per_event: int = 1
    n_cache_blocks: int = 4_096
    cache_retention_ms: float = 0.0
    load_lag_ms: float = 100.0
    events_lag_ms: float = 100.0
    event_loss: float = 0.0
    n_kept_events: int = 4_096
    transfer_blocks_per_s: float = 20_000.0
    resume_window_ms: float = 2_000.0
    seed: int = 1


class CompletionBody(msgspec.Struct):
    """The fields of a completion that an engine reads."""

    model: str = ""
    prompt: str = ""
    messages: list[dict] | None = None
    max_tokens: int = 16
    cache_salt: str = ""
    priority: int = 0
    output_offset: int = 0
    generated: str = ""
    resume_stream: str = ""


def rendered_prompt(body: CompletionBody) -> str:
    """Return the text whose blocks are cached."""
    if body.messages is not None:
        return msgspec.json.encode(body.messages).decode()
    return body.prompt


def output_token(weights_version: str, prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``."""
    seed = f"{weights_version}|{index}|{prompt}".encode()
    return hashlib.blake2b(seed, digest_size=2).hexdigest() + " "


def block_hashes(prompt: bytes, salt: str) -> list[str]:
    """Return the chained hashes of the prompt's whole blocks, as hexadecimals."""
    key = bytes.fromhex(salt)
    parent = b""
    hashes = []
    for end in range(BLOCK_BYTES, len(prompt) + 1, BLOCK_BYTES):
        block = prompt[end - BLOCK_BYTES : end]
        parent = hashlib.blake2b(parent + block, digest_size=8, key=key).digest()
        hashes.append(parent.hex())
    return hashes


def n_prompt_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt, at least 1."""
    return max(1, len(prompt) // TOKEN_BYTES)
