"""The state of one request inside admission."""

from typing import Literal

from .errors import AdmissionFailure
from .policy import WorkPolicy
from .port import AdmissionQuery

RequestState = Literal["new", "waiting", "admitted", "refused", "gone"]


class AdmissionRequest:
    """One request from its arrival at admission to its release.

    Attributes
    ----------
    cost_tokens : float
        Estimated work; see :mod:`.cost`.
    state : {"new", "waiting", "admitted", "refused", "gone"}
        Progress through admission; "gone" if the caller left while it waited.
    failure : AdmissionFailure or None
        Why it was refused, if it was.
    """

    __slots__ = (
        "query",
        "policy",
        "cost_tokens",
        "arrived_at_ms",
        "admitted_at_ms",
        "state",
        "failure",
    )

    def __init__(
        self,
        query: AdmissionQuery,
        policy: WorkPolicy,
        cost_tokens: float,
        arrived_at_ms: float,
    ) -> None:
        self.query = query
        self.policy = policy
        self.cost_tokens = cost_tokens
        self.arrived_at_ms = arrived_at_ms
        self.admitted_at_ms = 0.0
        self.state: RequestState = "new"
        self.failure: AdmissionFailure | None = None
