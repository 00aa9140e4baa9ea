"""What admission reads from profiles and from the fleet."""

from collections.abc import Callable
from typing import NamedTuple

from .port import AdmissionQuery


class WorkPolicy(NamedTuple):
    """What the active profile specifies for a request.

    Parameters
    ----------
    is_deferrable : bool
        Whether the request may be queued for long; false if its rank was raised.
    ttft_target_ms : float
        Target for the time to first token of urgent work.
    deferrable_floor : float
        Minimum share of capacity reserved for deferrable work, from 0 to 1.
    member_weight : float
        Weight of the member among the members of its client account.
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
    """The combined capacity of the engines that serve one model.

    ``prefill_tokens_per_s`` is the sum over the engines; ``n_instances`` is the
    number of instances that share these engines.
    """

    n_engines: int
    prefill_tokens_per_s: float
    n_instances: int = 1


PolicyLookup = Callable[[AdmissionQuery], WorkPolicy]
CapacityLookup = Callable[[str], ModelCapacity]
