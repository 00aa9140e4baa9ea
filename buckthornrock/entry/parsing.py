"""Parses and validates JSON bodies and headers of requests."""

import re
from typing import Any

import msgspec
from expression import Error, Ok, Result

from .errors import BadRequest

MAX_OUTPUT_TOKENS = 32_768
DEFAULT_OUTPUT_TOKENS = 16
MAX_DEADLINE_MS = 7 * 24 * 3_600_000
MAX_DEADLINE_DIGITS = 12
MAX_KEY_CHARS = 512
_KEY = re.compile(r"[\x21-\x7e]+")
#: An element of a list header; commas within quotes don't end it.
_LIST_ELEMENT = re.compile(r'(?:"[^"]*+"?|[^,"])++')


class CompletionFields(msgspec.Struct):
    """Fields of a completion that the router reads; all others are passed on."""

    model: str
    prompt: str | None = None
    messages: list[dict[str, Any]] | None = None
    max_tokens: int = DEFAULT_OUTPUT_TOKENS
    stream: bool = False
    adapter: str = ""
    prefix_levels: list[int] = []
    n: int = 1
    best_of: int = 1
    echo: bool = False


def parse_object(raw: bytes) -> Result[dict, BadRequest]:
    """Return the JSON object in ``raw``."""
    try:
        body = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        return Error(BadRequest("$", str(error)))
    if not isinstance(body, dict):
        return Error(BadRequest("$", "expected an object"))
    return Ok(body)


def parse_completion(body: dict, is_chat: bool) -> Result[CompletionFields, BadRequest]:
    """Return the validated fields of a completion or chat completion."""
    try:
        fields = msgspec.convert(body, CompletionFields)
    except msgspec.ValidationError as error:
        return Error(BadRequest("$", str(error)))
    required = "messages" if is_chat else "prompt"
    if getattr(fields, required) is None:
        return Error(BadRequest(f"$.{required}", "this field is required"))
    if not 1 <= fields.max_tokens <= MAX_OUTPUT_TOKENS:
        reason = f"must be 1 to {MAX_OUTPUT_TOKENS}"
        return Error(BadRequest("$.max_tokens", reason))
    for name in ("n", "best_of"):
        if getattr(fields, name) != 1:
            reason = "only one choice per request is supported"
            return Error(BadRequest(f"$.{name}", reason))
    if fields.echo:
        # An engine that resumes a response would repeat the prompt in its middle.
        return Error(BadRequest("$.echo", "echo is not supported"))
    levels = fields.prefix_levels
    if levels != sorted(set(levels)) or any(offset <= 0 for offset in levels):
        reason = "must be increasing offsets above 0"
        return Error(BadRequest("$.prefix_levels", reason))
    return Ok(fields)


def render_prompt(fields: CompletionFields) -> bytes:
    """Return the prompt as the bytes whose blocks are hashed."""
    if fields.messages is not None:
        return msgspec.json.encode(fields.messages)
    return fields.prompt.encode()


def parse_idempotency_key(header: str | None) -> Result[str, BadRequest]:
    """Return the key of an ``Idempotency-Key`` header; "" if there is none."""
    if header is None:
        return Ok("")
    if not 1 <= len(header) <= MAX_KEY_CHARS or not _KEY.fullmatch(header):
        reason = f"must be 1 to {MAX_KEY_CHARS} printable ASCII characters"
        return Error(BadRequest("Idempotency-Key", reason))
    return Ok(header)


def parse_preferences(header: str) -> dict[str, str]:
    """Return the values of a ``Prefer`` header (RFC 7240) by lower-case name.

    Of a preference that is stated twice the first counts. Parameters are ignored.
    """
    preferences: dict[str, str] = {}
    for element in _LIST_ELEMENT.findall(header):
        name, _, value = element.partition(";")[0].partition("=")
        preferences.setdefault(name.strip().lower(), value.strip().strip('"'))
    return preferences


def parse_deadline_ms(header: str, default_ms: int) -> Result[int, BadRequest]:
    """Return the value of an ``X-Deadline-Ms`` header, or the default if empty."""
    if not header:
        return Ok(default_ms)
    is_number = header.isascii() and header.isdigit()
    if not is_number or len(header) > MAX_DEADLINE_DIGITS:
        return Error(BadRequest("X-Deadline-Ms", "must be whole milliseconds"))
    if not 1 <= int(header) <= MAX_DEADLINE_MS:
        return Error(BadRequest("X-Deadline-Ms", f"must be 1 to {MAX_DEADLINE_MS}"))
    return Ok(int(header))
