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
    read_timeout_ms: int = defaults.ENTRY_READ_TIMEOUT_MS
    deadline_ms: int = defaults.ENTRY_DEADLINE_MS
    drain_grace_ms: int = defaults.ENTRY_DRAIN_GRACE_MS
    drain_limit_ms: int = defaults.ENTRY_DRAIN_LIMIT_MS


class OperatorSettings(NamedTuple):
    """The operators' HTTP port and the hashes of the operators' keys."""

    port: int
    keys_sha256: tuple[str, ...]
    host: str = defaults.OPERATOR_HOST
    n_threads: int = defaults.OPERATOR_N_THREADS


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
    poll_period_ms: int = defaults.UPSTREAM_POLL_PERIOD_MS
    block_bytes: int = defaults.UPSTREAM_BLOCK_BYTES
    answer_buffer_bytes: int = defaults.UPSTREAM_ANSWER_BUFFER_BYTES
    max_answer_bytes: int = defaults.UPSTREAM_MAX_ANSWER_BYTES


class IdempotencySettings(NamedTuple):
    """How long and how much is remembered of calls with an idempotency key."""

    retention_s: int = defaults.IDEMPOTENCY_RETENTION_S
    max_outcome_bytes: int = defaults.IDEMPOTENCY_MAX_OUTCOME_BYTES
    issued_key_ttl_ms: int = defaults.IDEMPOTENCY_ISSUED_KEY_TTL_MS
    n_issued_keys: int = defaults.IDEMPOTENCY_N_ISSUED_KEYS


class CallerKeySettings(NamedTuple):
    """The hash of a caller's key and the client account (and member) it names."""

    sha256: str
    client_account: str
    member: str = ""


class TelemetrySettings(NamedTuple):
    """Where metrics and logs go; an empty ``statsd_host`` sends no metrics."""

    statsd_host: str = defaults.STATSD_HOST
    statsd_port: int = defaults.STATSD_PORT
    statsd_prefix: str = defaults.STATSD_PREFIX
    log_path: str = "-"


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
    telemetry: TelemetrySettings = TelemetrySettings()
    idempotency: IdempotencySettings = IdempotencySettings()
