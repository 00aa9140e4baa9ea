"""Converts work, prefill times and changes of upstreams to entries of digests. Pure."""

import heapq

import msgspec

from ..catalog.upstreams import Upstream, UpstreamChange
from ..scheduling.loads import Work
from ..scheduling.prefill_speed import PrefillTimes
from ..wire.digests import EntryChange, UpstreamEntry, UpstreamTimes, UpstreamWork

#: Maximum number of upstreams in one digest; those with most requests are kept.
MAX_WORK_ENTRIES = 250


def encode_works(works: dict[int, Work]) -> list[UpstreamWork]:
    """Return the entries of the upstreams that have requests."""
    busy = [item for item in works.items() if item[1].n_requests]
    if len(busy) > MAX_WORK_ENTRIES:
        busy = heapq.nlargest(
            MAX_WORK_ENTRIES, busy, key=lambda item: item[1].n_requests
        )
    return [
        UpstreamWork(
            number, work.n_requests, round(work.prefill_ms), work.n_memory_tokens
        )
        for number, work in busy
    ]


def decode_works(works: list[UpstreamWork]) -> dict[int, Work]:
    """Return the work by upstream number."""
    return {
        work.upstream: Work(work.n_requests, work.prefill_ms, work.n_memory_tokens)
        for work in works
    }


def encode_times(times: dict[int, PrefillTimes]) -> list[UpstreamTimes]:
    """Return the entries with the longest expected times."""
    encoded = [
        UpstreamTimes(number, *(round(time_ms) for time_ms in sums))
        for number, sums in times.items()
    ]
    return heapq.nlargest(MAX_WORK_ENTRIES, encoded, key=lambda x: x.expected_ms)


def decode_times(times: list[UpstreamTimes]) -> dict[int, PrefillTimes]:
    """Return the prefill times by upstream number."""
    return {
        reported.upstream: PrefillTimes(reported.expected_ms, reported.observed_ms)
        for reported in times
    }


def encode_change(change: UpstreamChange) -> EntryChange:
    """Return the entry of a change in the directory."""
    entry = None if change.upstream is None else UpstreamEntry(*change.upstream)
    return EntryChange(change.revision, change.upstream_id, entry)


def decode_upstream(entry: UpstreamEntry) -> Upstream:
    """Return the upstream of an entry, which may be odd."""
    return Upstream(*msgspec.structs.astuple(entry))
