"""The model of an instance's settings.

Each section is a ``NamedTuple``; a field without a default is required. A field
whose name ends in ``secret`` or ``sha256`` is never logged or shown.
"""

from typing import Literal, NamedTuple

from . import defaults


class EntrySettings(NamedTuple):
    """The callers' HTTP port."""

    port: int
    host: str = defaults.ENTRY_HOST
    n_threads: int = defaults.ENTRY_N_THREADS
    max_body_bytes: int = defaults.ENTRY_MAX_BODY_BYTES
    max_held_bytes: int = defaults.ENTRY_MAX_HELD_BYTES
    max_connections: int = defaults.ENTRY_MAX_CONNECTIONS
    read_timeout_ms: int = defaults.ENTRY_READ_TIMEOUT_MS
    body_timeout_ms: int = defaults.ENTRY_BODY_TIMEOUT_MS
    send_timeout_ms: int = defaults.ENTRY_SEND_TIMEOUT_MS
    deadline_ms: int = defaults.ENTRY_DEADLINE_MS
    drain_grace_ms: int = defaults.ENTRY_DRAIN_GRACE_MS
    drain_limit_ms: int = defaults.ENTRY_DRAIN_LIMIT_MS


class OperatorSettings(NamedTuple):
    """The operators' HTTP port and the hashes of the operators' keys."""

    port: int
    keys_sha256: tuple[str, ...]
    host: str = defaults.OPERATOR_HOST
    n_threads: int = defaults.OPERATOR_N_THREADS
    max_body_bytes: int = defaults.OPERATOR_MAX_BODY_BYTES
    max_held_bytes: int = defaults.OPERATOR_MAX_HELD_BYTES
    max_connections: int = defaults.OPERATOR_MAX_CONNECTIONS
    read_timeout_ms: int = defaults.OPERATOR_READ_TIMEOUT_MS
    body_timeout_ms: int = defaults.OPERATOR_BODY_TIMEOUT_MS
    send_timeout_ms: int = defaults.OPERATOR_SEND_TIMEOUT_MS


class KvSettings(NamedTuple):
    """The platform's key-value service (etcd v3 JSON gateway)."""

    url: str
    timeout_ms: int = defaults.KV_TIMEOUT_MS
    lease_ttl_s: int = defaults.KV_LEASE_TTL_S
    key_prefix: str = defaults.KV_KEY_PREFIX
    fleet_writes_per_s: float = defaults.KV_FLEET_WRITES_PER_S
    fleet_reads_per_s: float = defaults.KV_FLEET_READS_PER_S


class InstanceListSettings(NamedTuple):
    """The platform's lagging list of live and leaving instances."""

    url: str = ""
    period_ms: int = defaults.INSTANCE_LIST_PERIOD_MS


class PlatformSettings(NamedTuple):
    """What the platform gives."""

    kv: KvSettings
    instance_list: InstanceListSettings = InstanceListSettings()


class PeerSettings(NamedTuple):
    """Another instance that may be asked before the instance list answers."""

    id: str
    address: str


class WireSettings(NamedTuple):
    """The inner protocol between instances.

    ``shared_secret`` authenticates frames; all instances of a fleet share it.
    ``port`` 0 turns the inner protocol off (a fleet of one instance).
    """

    port: int = 0
    host: str = "127.0.0.1"
    shared_secret: str = ""
    peers: tuple[PeerSettings, ...] = ()
    n_contexts: int = defaults.WIRE_N_CONTEXTS
    timeout_ms: int = defaults.WIRE_TIMEOUT_MS
    max_frame_bytes: int = defaults.WIRE_MAX_FRAME_BYTES


class UpstreamSettings(NamedTuple):
    """One upstream: a model engine or a plain service's server.

    ``checks_fencing`` says whether it refuses an order with an old fencing number.
    """

    id: str
    kind: Literal["engine", "service"]
    address: str
    failure_domain: str
    models: tuple[str, ...] = ()
    service: str = ""
    checks_fencing: bool = True


class UpstreamsSettings(NamedTuple):
    """All upstreams and how they are called."""

    servers: tuple[UpstreamSettings, ...]
    connect_timeout_ms: int = defaults.UPSTREAM_CONNECT_TIMEOUT_MS
    read_timeout_ms: int = defaults.UPSTREAM_READ_TIMEOUT_MS
    first_token_timeout_ms: int = defaults.UPSTREAM_FIRST_TOKEN_TIMEOUT_MS
    stall_timeout_ms: int = defaults.UPSTREAM_STALL_TIMEOUT_MS
    poll_period_ms: int = defaults.UPSTREAM_POLL_PERIOD_MS
    block_bytes: int = defaults.UPSTREAM_BLOCK_BYTES
    answer_buffer_bytes: int = defaults.UPSTREAM_ANSWER_BUFFER_BYTES
    max_answer_bytes: int = defaults.UPSTREAM_MAX_ANSWER_BYTES


class OrdersSettings(NamedTuple):
    """Orders to engines; ``n_load_slots`` is the same on all instances."""

    n_load_slots: int = defaults.ORDERS_N_LOAD_SLOTS
    order_timeout_ms: int = defaults.ORDERS_TIMEOUT_MS
    load_time_ms: int = defaults.ORDERS_LOAD_TIME_MS
    step_period_ms: int = defaults.ORDERS_STEP_PERIOD_MS
    refresh_period_ms: int = defaults.ORDERS_REFRESH_PERIOD_MS


class IdempotencySettings(NamedTuple):
    """How long and how much is remembered of calls with an idempotency key."""

    retention_s: int = defaults.IDEMPOTENCY_RETENTION_S
    max_outcome_bytes: int = defaults.IDEMPOTENCY_MAX_OUTCOME_BYTES
    issued_key_ttl_ms: int = defaults.IDEMPOTENCY_ISSUED_KEY_TTL_MS
    n_issued_keys: int = defaults.IDEMPOTENCY_N_ISSUED_KEYS


class RoutingTermSettings(NamedTuple):
    """Terms of the cost estimate; each can be switched off to measure its worth.

    Parameters
    ----------
    queue : bool
        Prompt tokens that wait at the engine, from its load report.
    own_sends, peers : bool
        Corrections of the report by sends that it does not show yet.
    hits : bool
        Cached prefixes from cache events.
    expected : bool
        Prefixes that an engine is computing for this instance.
    transit : bool
        Time between failure domains.
    later_work : bool
        Delay of later requests by the work that this one brings.
    homes, widening : bool
        Engines preferred by rendezvous hashing, and more of them for hot prefixes.
    imports : bool
        Prefixes from the cache store.
    random_ties : bool
        Near-equal engines at random.
    """

    queue: bool = True
    own_sends: bool = True
    peers: bool = True
    hits: bool = True
    expected: bool = True
    transit: bool = True
    later_work: bool = True
    homes: bool = True
    widening: bool = True
    imports: bool = True
    random_ties: bool = True


class RoutingSettings(NamedTuple):
    """How an engine is chosen.

    ``cache_store`` is the cache store's ``IP:PORT``; "" uses none.
    """

    policy: Literal["cost", "round_robin", "least_loaded", "prefix_home"] = "cost"
    terms: RoutingTermSettings = RoutingTermSettings()
    cache_store: str = ""
    cross_domain_ms: float = defaults.ROUTING_CROSS_DOMAIN_MS
    event_period_ms: int = defaults.ROUTING_EVENT_PERIOD_MS
    digest_period_ms: int = defaults.ROUTING_DIGEST_PERIOD_MS
    max_blocks_per_upstream: int = defaults.ROUTING_MAX_BLOCKS_PER_UPSTREAM


class CallerKeySettings(NamedTuple):
    """The hash of a caller's key and the client account (and member) it names."""

    sha256: str
    client_account: str
    member: str = ""


class TelemetrySettings(NamedTuple):
    """Where metrics and logs go, and what the instance keeps for reports.

    An empty ``statsd_host`` sends no metrics. ``objective`` is the share of requests
    that has to be on time.
    """

    statsd_host: str = defaults.STATSD_HOST
    statsd_port: int = defaults.STATSD_PORT
    statsd_prefix: str = defaults.STATSD_PREFIX
    log_path: str = "-"
    objective: float = defaults.TELEMETRY_OBJECTIVE
    burn_slot_ms: int = defaults.TELEMETRY_BURN_SLOT_MS
    n_decisions: int = defaults.TELEMETRY_DECISIONS


class AdmissionSettings(NamedTuple):
    """Ranks, queues and limits of completions."""

    policy: Literal["queues", "unlimited"] = defaults.ADMISSION_POLICY
    controller: Literal["aimd", "gradient", "fixed"] = defaults.ADMISSION_CONTROLLER
    target_delay_ms: int = defaults.ADMISSION_TARGET_DELAY_MS
    window_tokens: int = defaults.ADMISSION_WINDOW_TOKENS
    min_requests_per_engine: float = defaults.ADMISSION_MIN_REQUESTS_PER_ENGINE
    output_token_cost: float = defaults.ADMISSION_OUTPUT_TOKEN_COST
    urgent_headroom: float = defaults.ADMISSION_URGENT_HEADROOM
    deferrable_wait_ms: int = defaults.ADMISSION_DEFERRABLE_WAIT_MS
    caller_thread_share: float = defaults.ADMISSION_CALLER_SHARE
    deferrable_thread_share: float = defaults.ADMISSION_DEFERRABLE_SHARE
    share_period_ms: int = defaults.ADMISSION_SHARE_PERIOD_MS


class DeferredSettings(NamedTuple):
    """Deferred work."""

    n_workers: int = defaults.DEFERRED_N_WORKERS
    scan_period_ms: int = defaults.DEFERRED_SCAN_PERIOD_MS
    max_held_jobs: int = defaults.DEFERRED_MAX_HELD_JOBS
    max_unsaved_bytes: int = defaults.DEFERRED_MAX_UNSAVED_BYTES
    submitter_thread_share: float = defaults.DEFERRED_SUBMITTER_SHARE
    submit_timeout_ms: int = defaults.DEFERRED_SUBMIT_TIMEOUT_MS
    retention_ms: int = defaults.DEFERRED_RETENTION_MS
    kv_write_share: float = defaults.DEFERRED_KV_WRITE_SHARE


class Settings(NamedTuple):
    """All settings of one instance."""

    instance_id: str
    failure_domain: str
    isolation_secret: str
    entry: EntrySettings
    operator: OperatorSettings
    platform: PlatformSettings
    upstreams: UpstreamsSettings
    caller_keys: tuple[CallerKeySettings, ...]
    region: str = ""
    default_profile: str = defaults.PROFILE_NAME
    wire: WireSettings = WireSettings()
    routing: RoutingSettings = RoutingSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    idempotency: IdempotencySettings = IdempotencySettings()
    orders: OrdersSettings = OrdersSettings()
    admission: AdmissionSettings = AdmissionSettings()
    deferred: DeferredSettings = DeferredSettings()
