"""The shape of a profile."""

from typing import Literal, NotRequired, TypedDict


class WorkClass(TypedDict):
    """One kind of work.

    ``rank`` 0 is the most urgent. ``ttft_target_ms`` is the objective for the first
    token of urgent work, ``deadline_ms`` the time after which an answer is worth
    nothing, ``worth`` its relative value when not all work fits.
    """

    rank: int
    kind: Literal["urgent", "deferrable"]
    ttft_target_ms: int
    deadline_ms: int
    worth: float


class AccountLimits(TypedDict):
    """What a client account may ask for, over the whole fleet.

    ``weight`` is its share inside a rank; ``member_weights`` divide that share.
    """

    requests_per_s: float
    tokens_per_s: float
    weight: float
    member_weights: NotRequired[dict[str, float]]


class Route(TypedDict):
    """How calls to a plain service with this method and path prefix are treated."""

    service: str
    method: str
    path_prefix: str
    repeatable: bool


class Profile(TypedDict):
    """A named profile, as an operator writes it.

    ``deferrable_floor`` is the share of capacity that deferrable work keeps in a
    flood, from 0 to 1.
    """

    work_classes: dict[str, WorkClass]
    default_work_class: str
    deferrable_floor: float
    default_limits: AccountLimits
    client_accounts: dict[str, AccountLimits]
    routes: list[Route]
