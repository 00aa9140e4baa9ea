"""The configuration in force, and the accounts that are isolated or were when removed.

It is not thread-safe: it is used on the event loop's thread only.
"""

from collections.abc import Collection

from ..catalog.cache_scopes import merge_isolated
from ..catalog.configuration import ClientLimits, Configuration, PromptStore
from ..catalog.isolation_record import merge_record
from ..catalog.route_table import RouteTable
from ..events import gateway as events
from ..telemetry import Telemetry


class ConfigurationInForce:
    """The newest configuration that this instance learnt, with its cache scopes.

    Attributes
    ----------
    table : RouteTable or None
        The configuration in force, None before any; its version never decreases.
    encoded : bytes
        The configuration in force as the operators wrote it, b"" before any. It is
        sent to peers that cannot reach the store.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self.table: RouteTable | None = None
        self.encoded = b""
        self._telemetry = telemetry
        self._isolated_accounts: frozenset[str] = frozenset()

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before there is one."""
        return self.table.configuration.version if self.table else 0

    @property
    def prompt_stores(self) -> tuple[PromptStore, ...]:
        """Prompt stores of the configuration in force, none before there is one."""
        return self.table.configuration.prompt_stores if self.table else ()

    def limits(self) -> ClientLimits:
        """Return the limits on clients, the defaults before any configuration."""
        return self.table.configuration.limits if self.table else ClientLimits()

    def replace(
        self, configuration: Configuration, encoded: bytes, source: str
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if self.table and configuration.version <= self.table.configuration.version:
            return False
        replaced_version = self.version
        self.encoded = encoded
        self._isolated_accounts = merge_isolated(
            self._isolated_accounts, (), configuration
        )
        self.table = RouteTable(configuration, self._isolated_accounts)
        self._telemetry.log(
            events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            replaced_version=replaced_version,
            source=source,
            n_routes=len(configuration.routes),
            n_bytes=len(encoded),
            cache_scope=self.table.cache_scope(None),
        )
        return True

    @property
    def isolated_or_removed_accounts(self) -> frozenset[str]:
        """Accounts that are isolated, or were when they were removed.

        Before any configuration these are the accounts that peers or the store named.
        """
        return self._isolated_accounts

    @property
    def removed_isolated_accounts(self) -> frozenset[str]:
        """Accounts that were isolated when they were removed."""
        if self.table is None:
            return frozenset()
        return self._isolated_accounts - self.table.configuration.isolated_accounts

    def on_removed_isolated_accounts(self, names: Collection[str], source: str) -> None:
        """Remember accounts that were isolated when they were removed.

        ``source`` is a peer or the store, and may name accounts that still exist.
        """
        if not names:
            return
        if self.table is None:
            # The first configuration tells which of them were removed.
            self._isolated_accounts = merge_record(self._isolated_accounts, names)
            return
        configuration = self.table.configuration
        merged = merge_isolated(self._isolated_accounts, names, configuration)
        if merged == self._isolated_accounts:
            return
        self._isolated_accounts = merged
        self.table = RouteTable(configuration, merged)
        self._telemetry.log(
            events.CACHE_SCOPE_CHANGED,
            source=source,
            n_removed_accounts=len(self.removed_isolated_accounts),
            cache_scope=self.table.cache_scope(None),
        )
