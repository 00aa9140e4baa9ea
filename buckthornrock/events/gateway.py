"""Log events of the gateway (numbers 2200 to 2299)."""

from .event import Event

SERVED = Event(
    2200,
    "gateway.served",
    "info",
    (
        "request_id",
        "route",
        "rank",
        "upstream_id",
        "waited_ms",
        "first_event_ms",
        "estimate_ms",
        "n_cached_tokens",
        "weights_version",
        "n_attempts",
        "digests_age_ms",
        "configuration_version",
        "store_age_ms",
        "duration_ms",
    ),
    "A request got an upstream's whole answer. waited_ms passed before it was handed "
    "on, first_event_ms until its answer began; estimate_ms, n_cached_tokens and "
    "peers' digests, the oldest of digests_age_ms, are what the choice rested on. The "
    "store confirmed what is known of it store_age_ms ago; null before it ever did.",
)
NOT_SERVED = Event(
    2201,
    "gateway.not_served",
    "warning",
    (
        "request_id",
        "route",
        "status",
        "failure",
        "reason",
        "upstream_id",
        "waited_ms",
        "n_usable",
        "n_waiting",
        "wait_ms",
        "retry_after_ms",
        "n_may_have_run",
        "n_unexecuted",
        "digests_age_ms",
        "configuration_version",
        "store_age_ms",
        "duration_ms",
    ),
    "A request got no upstream's answer; status 0 is a stream that was broken off. "
    "upstream_id had it at the end, after waited_ms, empty if none had. "
    "n_usable upstreams could serve it, n_waiting requests waited for them here, and "
    "wait_ms was expected; null where no place was looked for.",
)
ATTEMPT_FAILED = Event(
    2202,
    "gateway.attempt_failed",
    "warning",
    (
        "request_id",
        "upstream_id",
        "failure",
        "reason",
        "decision",
        "estimate_ms",
        "weights_version",
    ),
    "An upstream gave no usable answer to a request; decision is what is done next.",
)
TURNED_AWAY = Event(
    2203,
    "gateway.turned_away",
    "info",
    (
        "request_id",
        "status",
        "failure",
        "reason",
        "configuration_version",
        "store_age_ms",
    ),
    "The configuration in force, which the store confirmed store_age_ms ago, does not "
    "allow a request.",
)
CLIENT_LEFT = Event(
    2204,
    "gateway.client_left",
    "info",
    (
        "request_id",
        "route",
        "upstream_id",
        "last_event_id",
        "n_may_have_run",
        "n_unexecuted",
        "duration_ms",
    ),
    "A client closed its connection before its answer was complete; upstream_id is "
    "empty if the request waited for a place.",
)
REFUSAL_CUT = Event(
    2205,
    "gateway.refusal_cut",
    "warning",
    ("request_id", "upstream_id", "reason"),
    "An upstream's refusal was not read to its end; the request has not run there.",
)
CONFIGURATION_IN_FORCE = Event(
    2210,
    "gateway.configuration_in_force",
    "info",
    ("version", "replaced_version", "source", "n_routes", "n_bytes"),
    "A newer configuration is in force; source is the store or a peer's address.",
)
UNDECODABLE = Event(
    2211,
    "gateway.undecodable",
    "warning",
    ("what", "reason"),
    "A value of the store can't be read and is left out.",
)
UPSTREAM_CHANGED = Event(
    2212,
    "gateway.upstream_changed",
    "info",
    ("upstream_id", "service", "state", "revision"),
    "An upstream appeared, drains or is gone.",
)
WEIGHTS_WANTED = Event(
    2213,
    "gateway.weights_wanted",
    "info",
    ("model", "version", "source"),
    "New weights were named for a model.",
)
STORE_LOST = Event(
    2214,
    "gateway.store_lost",
    "warning",
    ("prefix", "reason"),
    "The store does not answer; what is known is kept as it is.",
)
STORE_BACK = Event(
    2215,
    "gateway.store_back",
    "info",
    ("prefix", "outage_ms"),
    "The store answers again.",
)
PEER_SILENT = Event(
    2216,
    "gateway.peer_silent",
    "warning",
    ("peer", "reason"),
    "A peer with a newer configuration did not answer; it is asked again.",
)
SETTINGS_READ = Event(
    2217,
    "gateway.settings_read",
    "info",
    ("instance_id", "outcome"),
    "The settings file was read again after a signal.",
)
SETTINGS_FIELDS_IGNORED = Event(
    2218,
    "gateway.settings_fields_ignored",
    "info",
    ("fields",),
    "The platform's settings file has fields that are not used.",
)
RESOURCES_USED = Event(
    2219,
    "gateway.resources_used",
    "info",
    (
        "period_ms",
        "loop_lag_ms",
        "cpu_share",
        "digests_sent_per_s",
        "digest_bytes_sent_per_s",
        "digests_received_per_s",
        "digest_bytes_received_per_s",
        "n_instances",
        "n_connections",
        "configuration_version",
        "store_age_ms",
    ),
    "What the instance used in the last period_ms: the event loop was late by at most "
    "loop_lag_ms, the process took cpu_share of a core, and digests to and from other "
    "instances took so many datagrams and bytes.",
)
STARTED = Event(
    2220,
    "gateway.started",
    "info",
    ("instance_id", "failure_domain", "address"),
    "The gateway listens; it is ready once it knows a configuration.",
)
STOPPING = Event(
    2221,
    "gateway.stopping",
    "info",
    ("instance_id", "n_open_requests"),
    "A graceful shutdown began.",
)
STOPPED = Event(
    2222,
    "gateway.stopped",
    "info",
    ("instance_id", "n_cut_requests"),
    "The gateway ended.",
)
HANDLER_FAILED = Event(
    2223,
    "gateway.handler_failed",
    "error",
    ("request_id", "error_type", "reason"),
    "Serving a request raised; the client got status 502.",
)
