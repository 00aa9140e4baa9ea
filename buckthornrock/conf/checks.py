"""Checks of decoded settings, each with a stable identifier.

A section is checked by plain functions that yield problems; :data:`CHECKS` lists
them all. Secrets are never part of a problem.
"""

import re
from collections.abc import Callable, Iterator
from operator import attrgetter

from .decoding import Problem
from .settings import Settings

BAD_PORT = "SET-E010"
BAD_POSITIVE = "SET-E011"
BAD_ADDRESS = "SET-E012"
BAD_HASH = "SET-E013"
DUPLICATE_ID = "SET-E014"
WEAK_SECRET = "SET-E015"
EMPTY_NAME = "SET-E016"
BAD_UPSTREAM = "SET-E017"
BAD_SHARE = "SET-E030"
OUT_OF_RANGE = "SET-E031"
SHORT_LEASE = "SET-E040"
#: A limit of the platform's file that is out of its range.
BAD_LIMIT = "SET-E050"

MIN_SECRET_BYTES = 16
_SHA256 = re.compile(r"[0-9a-f]{64}")
_ADDRESS = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})")
_SHARES = (
    "admission.urgent_headroom",
    "admission.caller_thread_share",
    "admission.deferrable_thread_share",
    "deferred.submitter_thread_share",
    "deferred.kv_write_share",
)
_POSITIVES = (
    "admission.window_tokens",
    "admission.output_token_cost",
    "deferred.n_workers",
    "deferred.max_held_jobs",
    "orders.n_load_slots",
    "deferred.kv_write_share",
)
#: Lowest and highest value of the limits on what clients make a port hold.
_RANGES = {
    "entry.max_body_bytes": (1_024, 1_073_741_824),
    "entry.max_held_bytes": (8_388_608, 1_099_511_627_776),
    "entry.max_connections": (32, 65_536),
    "entry.read_timeout_ms": (100, 600_000),
    "entry.body_timeout_ms": (100, 3_600_000),
    "entry.send_timeout_ms": (100, 3_600_000),
    "operator.max_body_bytes": (1_024, 1_073_741_824),
    "operator.max_held_bytes": (8_388_608, 1_099_511_627_776),
    "operator.max_connections": (8, 65_536),
    "operator.read_timeout_ms": (100, 600_000),
    "operator.body_timeout_ms": (100, 3_600_000),
    "operator.send_timeout_ms": (100, 3_600_000),
}
#: The largest request must fit into 7/8 of ``max_held_bytes``: 66 times its body, and
#: the fields of its head. A test compares the two with ``httpd/budget.py``.
HELD_PER_BODY_BYTE = 76
HELD_PER_HEAD_BYTES = 8_000_000
_POSITIVE_SUFFIXES = ("_ms", "_s", "_bytes", "_per_s", "n_threads", "n_contexts")


def check_settings(settings: Settings) -> list[Problem]:
    """Return every problem of ``settings``, in the order of the file."""
    return [problem for check in CHECKS for problem in check(settings)]


def _check_names(settings: Settings) -> Iterator[Problem]:
    for key in ("instance_id", "failure_domain"):
        if not getattr(settings, key):
            yield Problem(EMPTY_NAME, f"$.{key}", "an empty string", "give a name")


def _check_numbers(settings: Settings) -> Iterator[Problem]:
    yield from _check_section(settings, "$")


def _check_section(section: object, path: str) -> Iterator[Problem]:
    for key, value in zip(section._fields, section, strict=True):
        here = f"{path}.{key}"
        if hasattr(value, "_fields"):
            yield from _check_section(value, here)
            continue
        if not isinstance(value, int | float) or isinstance(value, bool):
            continue
        if key.endswith("port") and not 0 <= value <= 65_535:
            yield Problem(BAD_PORT, here, str(value), "write 0 to 65535")
        if key.endswith(_POSITIVE_SUFFIXES) and value <= 0:
            yield Problem(BAD_POSITIVE, here, str(value), "write more than 0")


def _check_secrets(settings: Settings) -> Iterator[Problem]:
    hint = f"write at least {MIN_SECRET_BYTES} bytes"
    if len(settings.isolation_secret.encode()) < MIN_SECRET_BYTES:
        yield Problem(WEAK_SECRET, "$.isolation_secret", "a short secret", hint)
    wire = settings.wire
    if wire.port and len(wire.shared_secret.encode()) < MIN_SECRET_BYTES:
        yield Problem(WEAK_SECRET, "$.wire.shared_secret", "a short secret", hint)


def _check_hashes(settings: Settings) -> Iterator[Problem]:
    hint = "write the SHA-256 of the key as 64 lower-case hexadecimal digits"
    for index, key in enumerate(settings.caller_keys):
        if not _SHA256.fullmatch(key.sha256):
            path = f"$.caller_keys[{index}].sha256"
            yield Problem(BAD_HASH, path, "not a SHA-256", hint)
    for index, digest in enumerate(settings.operator.keys_sha256):
        if not _SHA256.fullmatch(digest):
            path = f"$.operator.keys_sha256[{index}]"
            yield Problem(BAD_HASH, path, "not a SHA-256", hint)


def _check_keys_differ(settings: Settings) -> Iterator[Problem]:
    # A key that stands twice would let its holder in under another identity.
    hint = "give each caller and each operator a key of its own"
    callers = [
        (f"$.caller_keys[{index}].sha256", key.sha256)
        for index, key in enumerate(settings.caller_keys)
    ]
    operators = [
        (f"$.operator.keys_sha256[{index}]", digest)
        for index, digest in enumerate(settings.operator.keys_sha256)
    ]
    seen: set[str] = set()
    for path, digest in (*callers, *operators):
        if digest in seen:
            yield Problem(DUPLICATE_ID, path, "a key that is used above", hint)
        seen.add(digest)


def _check_upstreams(settings: Settings) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, server in enumerate(settings.upstreams.servers):
        path = f"$.upstreams.servers[{index}]"
        if server.id in seen:
            yield Problem(DUPLICATE_ID, f"{path}.id", server.id, "ids are unique")
        seen.add(server.id)
        if not _ADDRESS.fullmatch(server.address):
            hint = "write IP:PORT"
            yield Problem(BAD_ADDRESS, f"{path}.address", server.address, hint)
        if server.kind == "engine" and not server.models:
            hint = "name the models it serves"
            yield Problem(BAD_UPSTREAM, f"{path}.models", "nothing", hint)
        if server.kind == "service" and not server.service:
            hint = "name the service it belongs to"
            yield Problem(BAD_UPSTREAM, f"{path}.service", "nothing", hint)


def _check_shares(settings: Settings) -> Iterator[Problem]:
    for path in _SHARES:
        value = attrgetter(path)(settings)
        if not 0.0 <= value <= 1.0:
            yield Problem(BAD_SHARE, f"$.{path}", str(value), "write 0 to 1")
    for path in _POSITIVES:
        value = attrgetter(path)(settings)
        if value <= 0:
            hint = "write more than 0"
            yield Problem(BAD_POSITIVE, f"$.{path}", str(value), hint)


def _check_ranges(settings: Settings) -> Iterator[Problem]:
    for path, (low, high) in _RANGES.items():
        value = attrgetter(path)(settings)
        if not low <= value <= high:
            yield Problem(
                OUT_OF_RANGE, f"$.{path}", str(value), f"write {low} to {high}"
            )


def _check_held_bytes(settings: Settings) -> Iterator[Problem]:
    for name in ("entry", "operator"):
        section = getattr(settings, name)
        needed = HELD_PER_BODY_BYTE * section.max_body_bytes + HELD_PER_HEAD_BYTES
        if section.max_held_bytes < needed:
            found = str(section.max_held_bytes)
            hint = f"write at least {needed}, so that the largest request is served"
            yield Problem(OUT_OF_RANGE, f"$.{name}.max_held_bytes", found, hint)


def _check_telemetry(settings: Settings) -> Iterator[Problem]:
    section = settings.telemetry
    if not 0.0 < section.objective < 1.0:
        hint = "write a share between 0 and 1"
        yield Problem(BAD_SHARE, "$.telemetry.objective", str(section.objective), hint)
    if section.n_decisions <= 0:
        found = str(section.n_decisions)
        hint = "write more than 0"
        yield Problem(BAD_POSITIVE, "$.telemetry.n_decisions", found, hint)


def _check_orders(settings: Settings) -> Iterator[Problem]:
    orders = settings.orders
    margin_ms = orders.order_timeout_ms + orders.load_time_ms
    # A lease is renewed before half of it has passed, so half is always left.
    if margin_ms > 500 * settings.platform.kv.lease_ttl_s:
        found = f"{margin_ms} ms for an order and its load"
        hint = "write at most half of platform.kv.lease_ttl_s"
        yield Problem(SHORT_LEASE, "$.orders.load_time_ms", found, hint)


#: All checks, in the order in which they are reported.
CHECKS: tuple[Callable[[Settings], Iterator[Problem]], ...] = (
    _check_names,
    _check_numbers,
    _check_secrets,
    _check_hashes,
    _check_keys_differ,
    _check_upstreams,
    _check_orders,
    _check_shares,
    _check_ranges,
    _check_held_bytes,
    _check_telemetry,
)
