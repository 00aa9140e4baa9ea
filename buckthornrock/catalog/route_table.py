"""Matches requests to routes and API keys to client accounts and cache scopes."""

from collections import defaultdict
from typing import NamedTuple

from expression import Error, Ok, Result

from .cache_scopes import own_scope, shared_scope
from .configuration import ClientAccount, Configuration, Route

BEARER = "bearer "


class NoRoute(NamedTuple):
    """No route of the configuration matches the request."""

    version: int

    code = "no-route"


class UnknownKey(NamedTuple):
    """The request requires an API key and has no known one."""

    version: int

    code = "unknown-key"


class RouteTable:
    """Lookup by host and longest path prefix over one configuration.

    ``isolated_accounts`` are the accounts that are isolated, or were when they were
    removed; None for those that the configuration names.
    """

    def __init__(
        self,
        configuration: Configuration,
        isolated_accounts: frozenset[str] | None = None,
    ) -> None:
        self.configuration = configuration
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in configuration.routes:
            by_host[route.host.lower()].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._by_host = dict(by_host)
        if isolated_accounts is None:
            isolated_accounts = configuration.isolated_accounts
        self._shared_scope = shared_scope(isolated_accounts)

    def match(self, host: str, path: str) -> Result[Route, NoRoute]:
        """Return the route of the host with the longest prefix of ``path``."""
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return Ok(route)
        return Error(NoRoute(self.configuration.version))

    def authenticate(
        self, route: Route, authorization: str
    ) -> Result[ClientAccount | None, UnknownKey]:
        """Return the account of the request's key, None if it may go without."""
        key = _bearer_key(authorization)
        return self._authenticated(route, self.configuration.accounts.get(key))

    def authenticate_as(
        self, route: Route, account_name: str
    ) -> Result[ClientAccount | None, UnknownKey]:
        """Return what ``authenticate`` does for a key of the named account."""
        accounts = self.configuration.accounts.values()
        named = (account for account in accounts if account.name == account_name)
        return self._authenticated(route, next(named, None))

    def _authenticated(
        self, route: Route, account: ClientAccount | None
    ) -> Result[ClientAccount | None, UnknownKey]:
        if not self.configuration.requires_keys:
            return Ok(None)
        if account is None and not route.is_public:
            return Error(UnknownKey(self.configuration.version))
        return Ok(account)

    def cache_scope(self, account: ClientAccount | None) -> str:
        """Return the scope within which cached parts of an account are shared."""
        isolated = self.configuration.isolated_accounts
        if account is not None and account.name in isolated:
            return own_scope(account)
        return self._shared_scope


def _host_name(host: str) -> str:
    """Return the host without its port; IPv6 addresses keep their brackets."""
    host = host.strip().lower()
    if host.startswith("["):
        return host[: host.find("]") + 1]
    return host.rsplit(":", 1)[0]


def _bearer_key(authorization: str) -> str:
    if authorization[: len(BEARER)].lower() != BEARER:
        return ""
    return authorization[len(BEARER) :].strip()
