"""Description of a prompt, as a request to a model declares it."""

from typing import NamedTuple

from expression import Error, Ok, Result

from ..runtime.decoding import parse_count

#: Sums over many requests are sent in digests, which hold 64 bits.
MAX_TOKENS = 1_000_000_000


class PromptPart(NamedTuple):
    """A part of a prompt; parts with the same id have the same tokens."""

    part_id: str
    n_tokens: int


class PromptShape(NamedTuple):
    """Size and parts of a prompt; only the last part is specific to the request."""

    model: str
    parts: tuple[PromptPart, ...]
    n_prompt_tokens: int
    n_output_tokens: int

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The leading parts, which other prompts may share."""
        return self.parts[:-1]

    @property
    def n_total_tokens(self) -> int:
        """Upper bound of the KV memory that the request uses."""
        return self.n_prompt_tokens + self.n_output_tokens


class MalformedPrompt(NamedTuple):
    """The description of a prompt can't be parsed."""

    reason: str

    code = "malformed-prompt"


def parse_prompt(
    model: str, token_counts: str, parts: str
) -> Result[PromptShape, MalformedPrompt]:
    """Parse ``PROMPT,OUTPUT`` token counts and ``ID:TOKENS,...`` parts."""
    try:
        n_prompt, n_output = (_n_tokens(count) for count in token_counts.split(","))
        found = tuple(_part(text) for text in parts.split(",") if text.strip())
    except ValueError as error:
        return Error(MalformedPrompt(str(error)))
    return Ok(PromptShape(model, found, n_prompt, n_output))


def _part(text: str) -> PromptPart:
    part_id, _, n_tokens = text.strip().partition(":")
    return PromptPart(part_id, _n_tokens(n_tokens))


def _n_tokens(text: str) -> int:
    n_tokens = parse_count(text)
    if n_tokens is None or n_tokens > MAX_TOKENS:
        raise ValueError("a number of tokens is not a count within the limit")
    return n_tokens


def cache_salt(cache_scope: str, model: str, weights_version: int | None) -> str:
    """Return the salt for the cache keys of a prompt's parts.

    Cached parts are never shared between values of ``cache_scope`` (isolated client
    accounts), models, or versions of a model's weights.
    """
    return f"{cache_scope}/{model}/{weights_version or 0}"
