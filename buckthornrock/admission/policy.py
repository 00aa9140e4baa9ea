"""What admission has to be told of profiles and of the fleet."""

from collections.abc import Callable
from typing import NamedTuple

from .port import AdmissionQuery


class WorkPolicy(NamedTuple):
    """What the profile in force says of a request.

    Parameters
    ----------
    is_deferrable : bool
        Whether the work may wait; false for work whose rank was raised.
    ttft_target_ms : float
        Longest useful wait for the first token of urgent work.
    deferrable_floor : float
        Share of capacity that deferrable work keeps, from 0 to 1.
    member_weight : float
        Share of the member among the members of its client account.
    requests_per_s, tokens_per_s : float
        The client account's limits over the whole fleet.
    """

    is_deferrable: bool
    ttft_target_ms: float
    deferrable_floor: float
    member_weight: float
    requests_per_s: float
    tokens_per_s: float


class ModelCapacity(NamedTuple):
    """What the engines of one model are able to do together.

    ``prefill_tokens_per_s`` is the sum over the engines, ``n_instances`` how many
    instances use them.
    """

    n_engines: int
    prefill_tokens_per_s: float
    n_instances: int = 1


PolicyLookup = Callable[[AdmissionQuery], WorkPolicy]
CapacityLookup = Callable[[str], ModelCapacity]
