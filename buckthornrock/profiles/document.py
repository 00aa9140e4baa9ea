"""Types of a profile document."""

from typing import Literal, NotRequired, TypedDict


class WorkClass(TypedDict):
    """One class of work.

    ``rank`` 0 is the most urgent. ``ttft_target_ms`` is the target for the time to
    first token of urgent work, and ``deadline_ms`` the time after which a response is
    useless. ``worth`` is the relative value of the work when capacity does not suffice
    for all.
    """

    rank: int
    kind: Literal["urgent", "deferrable"]
    ttft_target_ms: int
    deadline_ms: int
    worth: float


class AccountLimits(TypedDict):
    """Limits of a client account over the whole fleet.

    ``weight`` is its share within a rank; ``member_weights`` divide that share among
    the members of the account.
    """

    requests_per_s: float
    tokens_per_s: float
    weight: float
    member_weights: NotRequired[dict[str, float]]


class Route(TypedDict):
    """How calls to a plain service with this method and path prefix are handled."""

    service: str
    method: str
    path_prefix: str
    repeatable: bool


class Profile(TypedDict):
    """A named profile, as an operator writes it.

    ``deferrable_floor`` is the minimum share of capacity for deferrable work under
    overload, from 0 to 1.
    """

    work_classes: dict[str, WorkClass]
    default_work_class: str
    deferrable_floor: float
    default_limits: AccountLimits
    client_accounts: dict[str, AccountLimits]
    routes: list[Route]
