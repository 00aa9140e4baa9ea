"""Estimates the work of a request, corrected by what earlier requests used.

The unit is one prompt token that an engine has to compute (one that misses the prefix
cache). An output token counts as several, because it occupies a slot in the engine's
batch for a whole decoding step.
"""

from collections import OrderedDict
from typing import NamedTuple

from .port import AdmissionQuery

#: Combinations of client account, member and work class that are remembered.
MAX_KEYS = 4_096
#: Weight of the newest observation in the moving averages.
LEARNING_RATE = 0.1


class _Learned(NamedTuple):
    """Mean computed share of the prompt and mean used share of the output limit."""

    computed_share: float = 1.0
    output_share: float = 1.0


class CostModel:
    """Estimates work from means by client account, member and work class."""

    def __init__(self, output_token_cost: float) -> None:
        self._output_token_cost = output_token_cost
        self._learned: OrderedDict[tuple[str, str, str], _Learned] = OrderedDict()

    def estimate(self, query: AdmissionQuery) -> float:
        """Return the expected work in tokens, at least 1."""
        learned = self._learned.get(_key(query), _Learned())
        n_computed = query.n_prompt_tokens * learned.computed_share
        n_output = query.n_output_tokens * learned.output_share
        return max(1.0, self.tokens(n_computed, n_output))

    def tokens(self, n_computed_tokens: float, n_output_tokens: float) -> float:
        """Return the work of the given numbers of computed and output tokens."""
        return n_computed_tokens + self._output_token_cost * n_output_tokens

    def learn(
        self, query: AdmissionQuery, n_computed_tokens: int, n_output_tokens: int
    ) -> None:
        """Update the means with the actual work of a finished request."""
        key = _key(query)
        learned = self._learned.pop(key, _Learned())
        computed_share = n_computed_tokens / max(1, query.n_prompt_tokens)
        output_share = n_output_tokens / max(1, query.n_output_tokens)
        self._learned[key] = _Learned(
            _blend(learned.computed_share, min(1.0, computed_share)),
            _blend(learned.output_share, min(1.0, output_share)),
        )
        if len(self._learned) > MAX_KEYS:
            self._learned.popitem(last=False)


def _key(query: AdmissionQuery) -> tuple[str, str, str]:
    return query.client_account, query.member, query.work_class


def _blend(old: float, new: float) -> float:
    return old + LEARNING_RATE * (new - old)
