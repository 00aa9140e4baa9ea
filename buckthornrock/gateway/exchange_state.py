"""State of one request while it is served: its attempts so far and their times."""

from ..scheduling.loads import UpstreamLoad
from .client_connection import ClientConnection
from .crash_watch import crash_parts
from .dispatcher import Reservation
from .exchange_context import ExchangeContext
from .exchange_log import Progress
from .requests import AdmittedRequest
from .stream_relay import StreamRelay
from .upstream_connection import ResponseHead, UpstreamConnection


class ExchangeState:
    """What the attempts at serving one request have come to.

    Attributes
    ----------
    context : ExchangeContext
        What all exchanges share.
    admitted : AdmittedRequest
        The request, with the cache scope in force at the current attempt.
    client : ClientConnection
        Gets the response.
    relay : StreamRelay or None
        Forwards the response if it is a stream; None once the exchange has ended.
    crash_parts : dict
        Shared parts of the prompt, which engines may crash on, by their numeric ids.
    n_may_have_run : int
        Number of failed attempts that an upstream may have run.
    n_unexecuted : int
        Number of failed attempts that no upstream ran.
    n_crashes : int
        Number of upstreams that crashed while they ran the request.
    excluded : frozenset of str
        Upstreams that are not tried again.
    upstream_id : str
        Upstream of the current attempt, "" between attempts.
    has_sent : bool
        Whether the current attempt has sent the request.
    is_declined : bool
        Whether the upstream of the current attempt stated that it runs nothing.
    is_own_fault : bool
        Whether the last attempt broke off after this instance had paused reading its
        response, so that the upstream isn't at fault.
    upstream_failure : tuple or None
        Head and body of an upstream's own error response, for the client if no further
        attempt succeeds.
    used_connections : list of UpstreamConnection
        Connections that earlier attempts used.
    waited_ms, sent_at_ms, head_at_ms : float
        Time from the arrival to the last reservation, when the request was last sent,
        and when the head of its response arrived.
    """

    def __init__(
        self,
        context: ExchangeContext,
        admitted: AdmittedRequest,
        client: ClientConnection,
    ) -> None:
        self.context = context
        self.admitted = admitted
        self.client = client
        self.relay: StreamRelay | None = None
        self.crash_parts = crash_parts(admitted.demand.prompt)
        self.n_may_have_run = 0
        self.n_unexecuted = 0
        self.n_crashes = 0
        self.excluded: frozenset[str] = frozenset()
        self.upstream_id = ""
        self.has_sent = False
        self.is_declined = False
        self.is_own_fault = False
        self.upstream_failure: tuple[ResponseHead, bytearray] | None = None
        self.used_connections: list[UpstreamConnection] = []
        self.waited_ms = 0.0
        self.sent_at_ms = 0.0
        self.head_at_ms = 0.0

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return self.context.now_ms()

    def on_sending(self, now_ms: float) -> None:
        """Record that the request is sent to the upstream of the current attempt."""
        self.has_sent, self.is_declined = True, False
        self.sent_at_ms = now_ms
        self.is_own_fault = False

    def remaining_ms(self) -> float:
        """Return the time until the request ends, at the latest by a shutdown."""
        ends_at_ms = self.context.stopping.capped(self.admitted.ends_at_ms)
        return ends_at_ms - self.now_ms()

    def cache_scope_in_force(self) -> str:
        """Return the account's cache scope in the configuration in force."""
        table = self.context.fleet_state.configuration.table
        return table.cache_scope(self.admitted.account)

    def upstream_load(self, reservation: Reservation) -> UpstreamLoad:
        """Return the load of the upstream that was reserved."""
        incarnation = reservation.placement.upstream.incarnation
        return self.context.dispatcher.loads.of(incarnation)

    def record_outcome(self, reservation: Reservation, is_failure: bool) -> None:
        """Count a success or failure towards the upstream's failure rate."""
        self.upstream_load(reservation).on_outcome(is_failure, self.now_ms())

    def progress(self) -> Progress:
        """Return the progress of the request, for its log lines."""
        received_at_ms = self.admitted.request.received_at_ms
        now_ms, fleet_state = self.now_ms(), self.context.fleet_state
        return Progress(
            upstream_id=self.upstream_id,
            waited_ms=self.waited_ms,
            first_event_ms=self.head_at_ms - received_at_ms,
            duration_ms=now_ms - received_at_ms,
            n_may_have_run=self.n_may_have_run,
            n_unexecuted=self.n_unexecuted,
            last_event_id=self.relay.last_event_id,
            digests_age_ms=self.context.dispatcher.loads.digests_age_ms(now_ms),
            configuration_version=fleet_state.configuration.version,
            store_age_ms=fleet_state.store_age_ms(),
        )
