"""Start-time fair queueing by client account, and by member inside an account.

Each account (and each member) has a start tag in virtual time. The account with the
lowest start tag is served next, and its tag advances by cost divided by weight. Two
accounts that both have work waiting therefore differ in served work per weight by at
most the largest request of each.
"""

from collections import deque
from collections.abc import Hashable, Iterator

from .request import AdmissionRequest


class _Flow:
    """A queue that is served in proportion to its weight."""

    def __init__(self) -> None:
        self.weight = 1.0
        self.start_tag = 0.0
        self.n_waiting = 0
        self.n_waiting_tokens = 0.0


class _Member(_Flow):
    """Requests of one member, in order of arrival."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: deque[AdmissionRequest] = deque()


class _FlowGroup:
    """Flows that compete with one another for service."""

    def __init__(self) -> None:
        self.flows: dict[Hashable, _Flow] = {}
        self.virtual_time = 0.0

    def backlogged(self) -> Iterator[_Flow]:
        return (flow for flow in self.flows.values() if flow.n_waiting)

    def add(self, flow: _Flow, weight: float, cost_tokens: float) -> None:
        if not flow.n_waiting:
            flow.start_tag = max(flow.start_tag, self.virtual_time)
        flow.weight = weight
        flow.n_waiting += 1
        flow.n_waiting_tokens += cost_tokens

    def first(self) -> _Flow:
        return min(self.backlogged(), key=lambda flow: flow.start_tag)

    def serve(self, flow: _Flow, cost_tokens: float) -> None:
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.start_tag += cost_tokens / flow.weight
        self.drop(flow, cost_tokens)

    def drop(self, flow: _Flow, cost_tokens: float) -> None:
        flow.n_waiting -= 1
        flow.n_waiting_tokens -= cost_tokens

    def tokens_ahead(
        self, flow: _Flow | None, weight: float, own_tokens: float
    ) -> float:
        """Return the work served until the last of ``own_tokens`` of ``flow`` is.

        Until then each other flow is served at most up to the virtual time at which
        those tokens end.
        """
        virtual_lead = max(0.0, flow.start_tag - self.virtual_time) if flow else 0.0
        virtual_lead += own_tokens / weight
        return own_tokens + sum(
            min(
                other.n_waiting_tokens,
                other.weight * self._served_per_weight(other, virtual_lead),
            )
            for other in self.backlogged()
            if other is not flow
        )

    def _served_per_weight(self, flow: _Flow, virtual_lead: float) -> float:
        return max(0.0, virtual_lead - max(0.0, flow.start_tag - self.virtual_time))


class _Account(_Flow):
    """The members of one client account."""

    def __init__(self) -> None:
        super().__init__()
        self.members = _FlowGroup()


class FairQueue:
    """The waiting requests of one rank.

    Attributes
    ----------
    n_waiting : int
        Number of waiting requests.
    n_waiting_tokens : float
        Estimated work of the waiting requests.
    """

    def __init__(self) -> None:
        self._accounts = _FlowGroup()
        self.n_waiting = 0
        self.n_waiting_tokens = 0.0

    def push(self, request: AdmissionRequest) -> None:
        """Append a request to the queue of its member."""
        account = self._accounts.flows.setdefault(_account_of(request), _Account())
        member = account.members.flows.setdefault(request.query.member, _Member())
        cost = request.cost_tokens
        self._accounts.add(account, request.query.weight, cost)
        account.members.add(member, request.policy.member_weight, cost)
        member.requests.append(request)
        self._count(1, cost)

    def first(self) -> AdmissionRequest:
        """Return the request that is served next, without removing it."""
        account = self._accounts.first()
        return account.members.first().requests[0]

    def pop(self) -> AdmissionRequest:
        """Remove, charge and return the request that is served next."""
        account = self._accounts.first()
        member = account.members.first()
        request = member.requests.popleft()
        self._accounts.serve(account, request.cost_tokens)
        account.members.serve(member, request.cost_tokens)
        self._count(-1, -request.cost_tokens)
        return request

    def remove(self, request: AdmissionRequest) -> None:
        """Remove a request that no longer waits, without charging its account."""
        account = self._accounts.flows[_account_of(request)]
        member = account.members.flows[request.query.member]
        member.requests.remove(request)
        self._accounts.drop(account, request.cost_tokens)
        account.members.drop(member, request.cost_tokens)
        self._count(-1, -request.cost_tokens)

    def correct(self, request: AdmissionRequest, extra_tokens: float) -> None:
        """Charge a served request's work beyond its estimate; negative refunds it."""
        account = self._accounts.flows[_account_of(request)]
        member = account.members.flows[request.query.member]
        account.start_tag += extra_tokens / account.weight
        member.start_tag += extra_tokens / member.weight

    def tokens_ahead(self, request: AdmissionRequest) -> float:
        """Return the work served up to and with ``request`` if it were added now."""
        account = self._accounts.flows.get(_account_of(request))
        own_tokens = request.cost_tokens
        if account is not None:
            member = account.members.flows.get(request.query.member)
            own_tokens += member.n_waiting_tokens if member else 0.0
            weight = request.policy.member_weight
            own_tokens = account.members.tokens_ahead(member, weight, own_tokens)
        return self._accounts.tokens_ahead(account, request.query.weight, own_tokens)

    def _count(self, n_entries: int, n_tokens: float) -> None:
        self.n_waiting += n_entries
        # Resets the sum when the queue is empty, so that rounding errors of many
        # additions don't accumulate.
        self.n_waiting_tokens = self.n_waiting_tokens + n_tokens
        if not self.n_waiting:
            self.n_waiting_tokens = 0.0


def _account_of(request: AdmissionRequest) -> str:
    return request.query.client_account
