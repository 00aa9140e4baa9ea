"""Objects that all exchanges of a gateway share."""

from collections.abc import Callable
from typing import NamedTuple

from ..scheduling.retry_budget import RetryBudget
from ..telemetry import Telemetry
from .account_quotas import AccountQuotas
from .crash_watch import CrashWatch
from .dispatcher import Dispatcher
from .fleet_state import FleetState
from .pool import ConnectionPool
from .ports import HeaderCodec
from .stopping import Stopping


class ExchangeContext(NamedTuple):
    """Queue, connections, budgets, known state and clock of a gateway."""

    dispatcher: Dispatcher
    pool: ConnectionPool
    codec: HeaderCodec
    budget: RetryBudget
    n_instances: Callable[[], int]
    fleet_state: FleetState
    crash_watch: CrashWatch
    now_ms: Callable[[], float]
    telemetry: Telemetry
    stopping: Stopping
    quotas: AccountQuotas | None = None
