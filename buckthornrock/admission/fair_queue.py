"""Start-time fair queueing by client account, and by member inside an account.

Each account (and member) has a start tag in virtual time; the one with the lowest
start tag is served and its tag moves on by cost over weight. Two accounts that both
have work waiting differ by at most one largest request each in work over weight.
"""

from collections import deque
from collections.abc import Hashable, Iterator

from .request import AdmissionRequest


class _Share:
    """Something that is served in proportion to its weight."""

    def __init__(self) -> None:
        self.weight = 1.0
        self.start = 0.0
        self.n_waiting = 0
        self.n_waiting_tokens = 0.0


class _Member(_Share):
    """Requests of one member, in order of arrival."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: deque[AdmissionRequest] = deque()


class _Level:
    """Shares that compete with one another."""

    def __init__(self) -> None:
        self.shares: dict[Hashable, _Share] = {}
        self.virtual_tokens = 0.0

    def backlogged(self) -> Iterator[_Share]:
        return (share for share in self.shares.values() if share.n_waiting)

    def add(self, share: _Share, weight: float, cost_tokens: float) -> None:
        if not share.n_waiting:
            share.start = max(share.start, self.virtual_tokens)
        share.weight = weight
        share.n_waiting += 1
        share.n_waiting_tokens += cost_tokens

    def first(self) -> _Share:
        return min(self.backlogged(), key=lambda share: share.start)

    def serve(self, share: _Share, cost_tokens: float) -> None:
        self.virtual_tokens = max(self.virtual_tokens, share.start)
        share.start += cost_tokens / share.weight
        self.drop(share, cost_tokens)

    def drop(self, share: _Share, cost_tokens: float) -> None:
        share.n_waiting -= 1
        share.n_waiting_tokens -= cost_tokens

    def tokens_ahead(self, share: _Share | None, weight: float, own: float) -> float:
        """Return the work served before ``own`` tokens of ``share`` are.

        Others are served up to the virtual time at which these end.
        """
        lead = max(0.0, share.start - self.virtual_tokens) if share else 0.0
        lead += own / weight
        return own + sum(
            min(other.n_waiting_tokens, other.weight * self._served(other, lead))
            for other in self.backlogged()
            if other is not share
        )

    def _served(self, share: _Share, lead: float) -> float:
        return max(0.0, lead - max(0.0, share.start - self.virtual_tokens))


class _Account(_Share):
    """The members of one client account."""

    def __init__(self) -> None:
        super().__init__()
        self.members = _Level()


class FairQueue:
    """The requests of one rank that wait.

    Attributes
    ----------
    n_waiting : int
        Requests.
    n_waiting_tokens : float
        Their work.
    """

    def __init__(self) -> None:
        self._accounts = _Level()
        self.n_waiting = 0
        self.n_waiting_tokens = 0.0

    def push(self, request: AdmissionRequest) -> None:
        """Add a request behind those of its member."""
        account = self._accounts.shares.setdefault(_account_of(request), _Account())
        member = account.members.shares.setdefault(request.query.member, _Member())
        cost = request.cost_tokens
        self._accounts.add(account, request.query.weight, cost)
        account.members.add(member, request.policy.member_weight, cost)
        member.requests.append(request)
        self._count(1, cost)

    def first(self) -> AdmissionRequest:
        """Return the request whose turn it is."""
        account = self._accounts.first()
        return account.members.first().requests[0]

    def pop(self) -> AdmissionRequest:
        """Take the request whose turn it is."""
        account = self._accounts.first()
        member = account.members.first()
        request = member.requests.popleft()
        self._accounts.serve(account, request.cost_tokens)
        account.members.serve(member, request.cost_tokens)
        self._count(-1, -request.cost_tokens)
        return request

    def remove(self, request: AdmissionRequest) -> None:
        """Take out a request that waits no longer; it is not charged."""
        account = self._accounts.shares[_account_of(request)]
        member = account.members.shares[request.query.member]
        member.requests.remove(request)
        self._accounts.drop(account, request.cost_tokens)
        account.members.drop(member, request.cost_tokens)
        self._count(-1, -request.cost_tokens)

    def correct(self, request: AdmissionRequest, extra_tokens: float) -> None:
        """Charge what a served request cost beyond its estimate, or give it back."""
        account = self._accounts.shares[_account_of(request)]
        member = account.members.shares[request.query.member]
        account.start += extra_tokens / account.weight
        member.start += extra_tokens / member.weight

    def tokens_ahead(self, request: AdmissionRequest) -> float:
        """Return the work served before and with ``request``, were it added now."""
        account = self._accounts.shares.get(_account_of(request))
        own = request.cost_tokens
        if account is not None:
            member = account.members.shares.get(request.query.member)
            own += member.n_waiting_tokens if member else 0.0
            weight = request.policy.member_weight
            own = account.members.tokens_ahead(member, weight, own)
        return self._accounts.tokens_ahead(account, request.query.weight, own)

    def _count(self, n_entries: int, n_tokens: float) -> None:
        self.n_waiting += n_entries
        # Rounding errors of many additions must not outlive the queue.
        self.n_waiting_tokens = self.n_waiting_tokens + n_tokens
        if not self.n_waiting:
            self.n_waiting_tokens = 0.0


def _account_of(request: AdmissionRequest) -> str:
    return request.query.client_account
