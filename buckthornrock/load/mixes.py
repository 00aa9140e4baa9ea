"""The traffic of the two deployments: classes, prompts and client accounts."""

import functools
import hashlib
import random
from typing import NamedTuple

TOKEN_BYTES = 4
#: A few accounts ask for far more than the rest.
ACCOUNT_SHARES: dict[str, float] = {
    "large-0": 0.36,
    "large-1": 0.28,
    **{f"small-{index}": 0.06 for index in range(6)},
}
ZIPF_EXPONENT = 1.1


class Level(NamedTuple):
    """A level of shared prefixes.

    ``n_variants`` texts exist below each text of the level above; 0 makes each text
    unique.
    """

    name: str
    n_tokens: int
    n_variants: int


class ClassMix(NamedTuple):
    """One work class of a mix.

    Parameters
    ----------
    share : float
        Of all arrivals.
    rank : int
        Its rank in the profile, 0 the most urgent.
    on_time_ms : float
        An urgent answer's first token, or a deferrable answer's end, is on time
        within this.
    """

    name: str
    share: float
    rank: int
    is_deferrable: bool
    on_time_ms: float
    levels: tuple[Level, ...]
    n_output_tokens: int


class Mix(NamedTuple):
    """The traffic of one deployment."""

    name: str
    model: str
    members: tuple[str, ...]
    classes: tuple[ClassMix, ...]


MIXES: dict[str, Mix] = {
    "paddock-lane": Mix(
        name="paddock-lane",
        model="small",
        members=("shop",),
        classes=(
            ClassMix(
                name="blurb",
                share=0.6,
                rank=0,
                is_deferrable=False,
                on_time_ms=1_300.0,
                levels=(
                    Level("style-guide", 600, 1),
                    Level("category", 600, 12),
                    Level("item", 60, 0),
                ),
                n_output_tokens=16,
            ),
            ClassMix(
                name="notes",
                share=0.4,
                rank=2,
                is_deferrable=True,
                on_time_ms=15_000.0,
                levels=(
                    Level("sorting-guide", 800, 1),
                    Level("bale", 600, 8),
                    Level("tag", 60, 0),
                ),
                n_output_tokens=24,
            ),
        ),
    ),
    "wieszak": Mix(
        name="wieszak",
        model="small",
        members=("krakow", "lodz", "poznan"),
        classes=(
            ClassMix(
                name="assessment",
                share=0.65,
                rank=0,
                is_deferrable=False,
                on_time_ms=1_300.0,
                levels=(
                    Level("contract", 1_000, 3),
                    Level("lot", 400, 4),
                    Level("question", 60, 0),
                ),
                n_output_tokens=16,
            ),
            ClassMix(
                name="return-note",
                share=0.35,
                rank=2,
                is_deferrable=True,
                on_time_ms=15_000.0,
                levels=(Level("scheme", 500, 1), Level("note", 120, 0)),
                n_output_tokens=8,
            ),
        ),
    ),
}


class Prompt(NamedTuple):
    """A prompt with the byte offsets at which its shared levels end."""

    text: str
    prefix_levels: tuple[int, ...]


def build_prompt(
    levels: tuple[Level, ...], owner: str, serial: str, hot_round: int, rng: object
) -> Prompt:
    """Return a prompt whose variants follow a Zipf law.

    Parameters
    ----------
    owner : str
        Client account and member; their texts differ from others'.
    serial : str
        Makes the texts of unique levels differ.
    hot_round : int
        Decides which variants are hot.
    rng : random.Random
        Draws the variants.
    """
    path = owner
    texts = []
    offsets = []
    for level in levels:
        variant = _variant(level, path, serial, hot_round, rng)
        path = f"{path}/{level.name}-{variant}"
        texts.append(_filler(path, level.n_tokens * TOKEN_BYTES))
        offsets.append(sum(len(text) for text in texts))
    return Prompt("".join(texts), tuple(offsets))


def _variant(
    level: Level, path: str, serial: str, hot_round: int, rng: random.Random
) -> str:
    if not level.n_variants:
        return serial
    weights = _zipf_weights(level.n_variants)
    position = rng.choices(range(level.n_variants), weights)[0]
    order = list(range(level.n_variants))
    random.Random(f"{path}|{hot_round}").shuffle(order)
    return str(order[position])


@functools.cache
def _zipf_weights(n_variants: int) -> tuple[float, ...]:
    return tuple(1.0 / (index + 1) ** ZIPF_EXPONENT for index in range(n_variants))


@functools.lru_cache(maxsize=2_048)
def _filler(name: str, n_bytes: int) -> str:
    """Return text that is the same for the same name and unlike for others."""
    digest = hashlib.shake_128(name.encode()).hexdigest(n_bytes // 2 + 1)
    return digest[:n_bytes]
