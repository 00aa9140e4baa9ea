"""Catalogue of all metrics, and the statsd client that sends them."""

from collections.abc import Callable
from typing import NamedTuple

import statsd

REQUESTS = "requests"
REFUSALS = "refusals"
TTFT_MS = "ttft_ms"
INTER_TOKEN_MS = "inter_token_ms"
TOKENS = "tokens"
ATTEMPTS_FAILED = "attempts_failed"
PROMPT_TOKENS = "prompt_tokens"
EXPECTED_HIT_TOKENS = "expected_hit_tokens"
CROSSED_ANSWERS = "crossed_answers"
SERVICE_RETRIES = "service_retries"
KEYED_CALLS = "keyed_calls"
OUTCOMES_PENDING = "outcomes_pending"
ORDERS = "orders"
KV_CALLS = "kv_calls"
KV_FAILURES = "kv_failures"
KV_WAITS_MS = "kv_waits_ms"
WAITING_TOKENS = "waiting_tokens"
WINDOW_TOKENS = "window_tokens"
DEFERRED_WAITING = "deferred_waiting"
DEFERRED_FINISHED = "deferred_finished"
WIRE_BYTES = "wire_bytes"
WIRE_FRAMES_DROPPED = "wire_frames_dropped"
MEMBERS_LIVE = "members_live"
CLIENT_LIMITS = "client_limits"
CLIENT_CONNECTIONS = "client_connections"
CLIENT_HELD_BYTES = "client_held_bytes"
GATEWAY_REQUESTS = "gateway_requests"
GATEWAY_FIRST_EVENT_MS = "gateway_first_event_ms"
GATEWAY_WAITED_MS = "gateway_waited_ms"
GATEWAY_OVERFLOWS = "gateway_overflows"
GATEWAY_ATTEMPTS_FAILED = "gateway_attempts_failed"
GATEWAY_WAITING = "gateway_waiting"
GATEWAY_CONNECTIONS = "gateway_connections"
GATEWAY_HELD_BYTES = "gateway_held_bytes"
GATEWAY_LIMITED = "gateway_limited"
LOOP_LAG_MS = "loop_lag_ms"
DIGESTS = "digests"
DIGEST_BYTES = "digest_bytes"
CONFIGURATION_VERSION = "configuration_version"
ISOLATED_ACCOUNTS = "isolated_accounts"
STORE_AGE_MS = "store_age_ms"
QUOTA_REFUSALS = "quota_refusals"
QUOTA_LEVEL = "quota_level"
QUOTA_COVERED_SHARE = "quota_covered_share"
QUOTA_REPORT_AGE_MS = "quota_report_age_ms"

#: Metric name -> (kind, meaning).
CATALOGUE: dict[str, tuple[str, str]] = {
    REQUESTS: ("counter", "requests received, by work class"),
    REFUSALS: ("counter", "requests refused, by failure code"),
    TTFT_MS: ("timing", "time to first token, by work class"),
    INTER_TOKEN_MS: ("timing", "time between tokens, by work class"),
    TOKENS: ("counter", "tokens delivered, by work class"),
    PROMPT_TOKENS: ("counter", "prompt tokens sent to engines"),
    EXPECTED_HIT_TOKENS: ("counter", "prompt tokens expected in engines' caches"),
    ATTEMPTS_FAILED: ("counter", "attempts that failed at an upstream"),
    CROSSED_ANSWERS: ("counter", "responses that named another request, by upstream"),
    SERVICE_RETRIES: ("counter", "repeated attempts of calls to plain services"),
    KEYED_CALLS: ("counter", "calls with an idempotency key, by how they ended"),
    ORDERS: ("counter", "orders sent to engines, by kind"),
    OUTCOMES_PENDING: ("gauge", "outcomes that are not yet recorded"),
    KV_CALLS: ("counter", "calls to the key-value service, by kind"),
    KV_FAILURES: ("counter", "failed calls to the key-value service, by kind"),
    KV_WAITS_MS: ("timing", "waits for the key-value service's budget, by kind"),
    WAITING_TOKENS: ("gauge", "work that waits for admission, by model"),
    WINDOW_TOKENS: ("gauge", "work that may be at one engine, by model"),
    DEFERRED_WAITING: ("gauge", "deferred jobs held here that wait"),
    DEFERRED_FINISHED: ("counter", "deferred jobs that ended, by state"),
    WIRE_BYTES: ("counter", "bytes of frames between instances, by direction"),
    WIRE_FRAMES_DROPPED: ("counter", "frames that were dropped, by reason"),
    GATEWAY_REQUESTS: ("counter", "requests at the gateway, by kind and outcome"),
    GATEWAY_FIRST_EVENT_MS: ("timing", "time to a response's first bytes, by kind"),
    GATEWAY_WAITED_MS: ("timing", "time before a request was forwarded, by kind"),
    GATEWAY_OVERFLOWS: ("counter", "long prompts served outside their usual engines"),
    GATEWAY_ATTEMPTS_FAILED: ("counter", "failed attempts, by upstream and failure"),
    GATEWAY_WAITING: ("gauge", "requests that wait for capacity"),
    GATEWAY_CONNECTIONS: ("gauge", "open connections of clients"),
    GATEWAY_HELD_BYTES: ("gauge", "memory that connections of clients hold"),
    GATEWAY_LIMITED: ("counter", "clients refused or closed by a limit, by limit"),
    LOOP_LAG_MS: ("timing", "lateness of the event loop"),
    DIGESTS: ("counter", "digests between instances, by direction"),
    DIGEST_BYTES: ("counter", "bytes of digests, by direction"),
    CONFIGURATION_VERSION: ("gauge", "version of the configuration in force"),
    ISOLATED_ACCOUNTS: ("gauge", "accounts isolated now, or when they were removed"),
    STORE_AGE_MS: ("gauge", "time since the store confirmed the known state"),
    QUOTA_REFUSALS: ("counter", "requests over a quota, by client account"),
    QUOTA_LEVEL: ("gauge", "what a quota's bucket can pay, by client account"),
    QUOTA_COVERED_SHARE: ("gauge", "share of the fleet whose charges are known"),
    QUOTA_REPORT_AGE_MS: ("gauge", "age of the oldest report of charges in use"),
    CLIENT_LIMITS: ("counter", "refused or closed clients, by port and limit"),
    CLIENT_CONNECTIONS: ("gauge", "open connections of clients, by port"),
    CLIENT_HELD_BYTES: ("gauge", "bytes held for clients, by port"),
    MEMBERS_LIVE: ("gauge", "instances in the view of live instances"),
}


class Metrics(NamedTuple):
    """Functions that update counters, timings and gauges by metric name.

    The statsd client appends a label to the name, after a dot.
    """

    incr: Callable[..., None]
    timing: Callable[..., None]
    gauge: Callable[..., None]


def open_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Return metrics that are sent to statsd; an empty ``host`` discards them."""
    if not host:
        return Metrics(_discard, _discard, _discard)
    client = statsd.StatsClient(host, port, prefix=prefix)

    def incr(name: str, n: int = 1, label: str = "") -> None:
        client.incr(_statsd_name(name, label), n)

    def timing(name: str, duration_ms: float, label: str = "") -> None:
        client.timing(_statsd_name(name, label), duration_ms)

    def gauge(name: str, value: float, label: str = "") -> None:
        client.gauge(_statsd_name(name, label), value)

    return Metrics(incr, timing, gauge)


def _statsd_name(name: str, label: str) -> str:
    if name not in CATALOGUE:
        raise KeyError(name)
    return f"{name}.{label}" if label else name


def _discard(name: str, value: float = 1, label: str = "") -> None:
    _statsd_name(name, label)
