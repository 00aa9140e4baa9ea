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
        "n_prompt_tokens",
        "upstream_id",
        "waited_ms",
        "first_event_ms",
        "estimate_ms",
        "queued_prefill_ms",
        "n_cached_tokens",
        "is_overflow",
        "prefill_factor",
        "weights_version",
        "weights_lag_ms",
        "n_attempts",
        "digests_age_ms",
        "configuration_version",
        "store_age_ms",
        "duration_ms",
    ),
    "A request got an upstream's complete response. n_prompt_tokens is the size of its "
    "prompt; null without one. It was forwarded after waited_ms, "
    "and its response began after first_event_ms. The choice of the upstream was based "
    "on estimate_ms, queued_prefill_ms (the prefill queued at the upstream before it), "
    "n_cached_tokens and peer digests, the oldest of which was digests_age_ms old. "
    "is_overflow tells that a long prompt found no place in time on the engines used "
    "for long prompts; prefill_factor is the engine's prefill time against the mean. "
    "The upstream's weights had been outdated for weights_lag_ms, as far as the "
    "instance knew; null without a prompt. The store last confirmed the known state "
    "store_age_ms ago; null if it never did.",
)
NOT_SERVED = Event(
    2201,
    "gateway.not_served",
    "warning",
    (
        "request_id",
        "route",
        "n_prompt_tokens",
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
    "A request got no complete response of an upstream; status 0 means that its stream "
    "was aborted. upstream_id was handling the request when it ended, after waited_ms; "
    "empty if none was. n_usable upstreams could serve it, n_waiting requests were "
    "queued for them here and the expected wait was wait_ms; null if no capacity was "
    "requested.",
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
        "weights_lag_ms",
    ),
    "An upstream gave no usable response to a request; decision is the next action.",
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
    "A request was rejected because the current configuration, which the store last "
    "confirmed store_age_ms ago, does not allow it.",
)
CLIENT_LEFT = Event(
    2204,
    "gateway.client_left",
    "info",
    (
        "request_id",
        "route",
        "n_prompt_tokens",
        "upstream_id",
        "waited_ms",
        "last_event_id",
        "n_may_have_run",
        "n_unexecuted",
        "duration_ms",
    ),
    "A client closed its connection before its response was complete. It was forwarded "
    "after waited_ms; upstream_id is empty if the request was still waiting for "
    "capacity.",
)
REFUSAL_CUT = Event(
    2205,
    "gateway.refusal_cut",
    "warning",
    ("request_id", "upstream_id", "reason"),
    "An upstream refused a request, and its response was not read to the end; the "
    "request has not run there.",
)
UPSTREAM_LEAVING = Event(
    2228,
    "gateway.upstream_leaving",
    "info",
    ("upstream_id", "source"),
    "An upstream said in an answer that it leaves; it gets no further requests, "
    "whatever the store says of it. source is answer, or the peer that had it.",
)
QUIET_ASKED = Event(
    2229,
    "gateway.quiet_asked",
    "warning",
    ("upstream_id", "service", "asked_ms", "quiet_ms"),
    "An upstream refused a request and asked for no others for asked_ms, null if that "
    "can't be read. It gets none for quiet_ms.",
)
ENGINE_CRASHED = Event(
    2206,
    "gateway.engine_crashed",
    "warning",
    ("request_id", "upstream_id", "has_event", "parts"),
    "An attempt at an engine broke off and the engine accepts no connection any more; "
    "has_event tells whether the attempt had an event of its response. parts lists the "
    "prompt's shared parts, each with its number in other lines.",
)
PART_QUARANTINED = Event(
    2207,
    "gateway.part_quarantined",
    "warning",
    ("part", "source", "n_crashes", "n_probes"),
    "Requests whose prompt has this shared part are refused from now on: it was in "
    "flight at n_crashes crashes of engines, and no attempt with it ended whole "
    "since. source is own or the peer that decided it (n_crashes is 0 then).",
)
PART_RELEASED = Event(
    2208,
    "gateway.part_released",
    "info",
    ("part", "source", "n_crashes", "n_probes"),
    "An attempt with a quarantined part ended whole: its requests are served again.",
)
PART_PROBED = Event(
    2209,
    "gateway.part_probed",
    "info",
    ("request_id", "part"),
    "A request with a quarantined part is sent to find out whether the part is sound.",
)
CONFIGURATION_IN_FORCE = Event(
    2210,
    "gateway.configuration_in_force",
    "info",
    ("version", "replaced_version", "source", "n_routes", "n_bytes", "cache_scope"),
    "A newer configuration took effect; source is the store or a peer's address. "
    "cache_scope is where accounts that aren't isolated share cached parts: when it "
    "changes, parts cached before are not used again.",
)
UNDECODABLE = Event(
    2211,
    "gateway.undecodable",
    "warning",
    ("what", "reason"),
    "A value in the store could not be decoded and is ignored.",
)
UPSTREAM_CHANGED = Event(
    2212,
    "gateway.upstream_changed",
    "info",
    ("upstream_id", "service", "state", "revision"),
    "An upstream was added, began to drain or was removed.",
)
WEIGHTS_WANTED = Event(
    2213,
    "gateway.weights_wanted",
    "info",
    ("model", "version", "source", "age_ms"),
    "A version of a model's weights is wanted, and has been for age_ms according to "
    "source.",
)
STORE_LOST = Event(
    2214,
    "gateway.store_lost",
    "warning",
    ("prefix", "reason"),
    "The store does not respond; the last known state stays in use.",
)
STORE_BACK = Event(
    2215,
    "gateway.store_back",
    "info",
    ("prefix", "outage_ms"),
    "The store responds again.",
)
PEER_SILENT = Event(
    2216,
    "gateway.peer_silent",
    "warning",
    ("peer", "reason"),
    "A peer with a newer configuration did not respond; the request is retried.",
)
SETTINGS_READ = Event(
    2217,
    "gateway.settings_read",
    "info",
    ("instance_id", "outcome"),
    "The settings file was reloaded after a signal.",
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
    "Resources that the instance used in the last period_ms: the event loop was late "
    "by at most loop_lag_ms, the process used cpu_share of a core, and digests were "
    "exchanged with other instances at the given rates of datagrams and bytes.",
)
STARTED = Event(
    2220,
    "gateway.started",
    "info",
    ("instance_id", "failure_domain", "address"),
    "The gateway accepts connections; it is ready once it has a configuration.",
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
    "The gateway stopped.",
)
HANDLER_FAILED = Event(
    2223,
    "gateway.handler_failed",
    "error",
    ("request_id", "error_type", "reason"),
    "Handling a request raised an exception; the client got status 502.",
)
SNAPSHOT_TOO_LARGE = Event(
    2226,
    "gateway.snapshot_too_large",
    "error",
    ("n_bytes", "max_bytes"),
    "A snapshot for a peer exceeds its limit; the part of it that fits is sent.",
)
CACHE_SCOPE_CHANGED = Event(
    2240,
    "gateway.cache_scope_changed",
    "info",
    ("source", "n_removed_accounts", "cache_scope"),
    "A peer or the store told of accounts that were isolated when they were removed. "
    "What they cached before they were isolated stays out of reach under the new "
    "cache_scope.",
)
ISOLATION_RECORDED = Event(
    2242,
    "gateway.isolation_recorded",
    "info",
    ("n_accounts", "n_added"),
    "The store's record of accounts that are isolated, or were when they were removed, "
    "was extended by n_added to n_accounts, so that a restart of all instances doesn't "
    "bring what they cached before into reach again.",
)
OVER_QUOTA = Event(
    2230,
    "gateway.over_quota",
    "warning",
    (
        "request_id",
        "account",
        "n_refused",
        "cost",
        "available",
        "rate_per_s",
        "burst",
        "retry_after_ms",
        "covered_share",
        "n_instances",
        "oldest_report_ms",
        "configuration_version",
    ),
    "Requests of a client account were refused with status 429: the last of the "
    "n_refused since the account's previous line here, at most one in 10 s, would have "
    "cost more than available, what its bucket could pay. This instance knew the "
    "charges of covered_share of n_instances; the oldest report of them was "
    "oldest_report_ms old.",
)
CLIENTS_LIMITED = Event(
    2241,
    "gateway.clients_limited",
    "warning",
    ("limit", "n_clients", "address", "n_held_bytes", "n_connections"),
    "A limit on what clients send or hold was met. Since its last line, n_clients were "
    "refused or their connections closed, the last of them at address. limit is memory "
    "or connections (both of all clients together), head_bytes, body_bytes, "
    "arrival_time or unread_response. All clients held n_held_bytes then. One line for "
    "each limit in 5 s at most.",
)
