"""Processor time of quotas of client accounts.

Run: python -m benchmarks.quota_cost
"""

import time
from collections.abc import Callable

from buckthornrock.admission.fleet_quota import FleetQuota
from buckthornrock.admission.quota_counters import CounterReport, Stream
from buckthornrock.admission.quota_limits import AccountLimit, QuotaBound
from buckthornrock.wire.digests import (
    Digest,
    QuotaCounters,
    Scope,
    decode_digest,
    encode_digest,
)

N_ACCOUNTS = 140
#: Senders of a relay in a fleet of 340 instances.
N_SENDERS = 36
N_CALLS = 20_000
N_ROUNDS = 5
LIMIT = AccountLimit(1e9, 1e9, True)


def best_us(call: Callable[[int], object], n_calls: int) -> float:
    """Return the least processor time of a call in several rounds, in microseconds."""
    costs = []
    for _ in range(N_ROUNDS):
        started_ns = time.process_time_ns()
        for number in range(n_calls):
            call(number)
        costs.append((time.process_time_ns() - started_ns) / n_calls / 1_000.0)
    return min(costs)


def busy_quota() -> FleetQuota:
    """Return quotas with reports of all senders about all accounts."""
    quota = FleetQuota(QuotaBound(8_000.0, 0.1, 190_000.0), 3, 0.0)
    numbers = [number * 30_000_001 for number in range(N_ACCOUNTS)]
    quota.replace_limits(dict.fromkeys(numbers, LIMIT), 0.0)
    return quota


def report(number: int) -> CounterReport:
    """Return the report of a busy sender, all counters of which have risen."""
    charges = {n * 30_000_001: 70_000 + 17_000 * number for n in range(N_ACCOUNTS)}
    return CounterReport(charges, 400 * number, 9, 340)


def digest(quota: QuotaCounters | None) -> Digest:
    """Return a digest that carries nothing but the quota's counters."""
    return Digest(
        "i1", "10.0.0.1:1", "a", 1, 1, Scope.OTHERS, "", 0, 1, 1, {}, [], [], [], [],
        [], quota=quota,
    )  # fmt: skip


def main() -> None:
    """Print the processor time of charges, digests and reports."""
    quota = busy_quota()
    for sender in range(N_SENDERS):
        for number in range(2):
            quota.on_report(f"i{sender}", Stream(1, 1), report(number), True, number)
    clock = iter(range(1, 10**9))
    account = 30_000_001

    def charge_and_refund(_: int) -> None:
        now_ms = next(clock) / 20.0
        quota.charge(account, 17_000, now_ms)
        quota.refund(account, 17_000, now_ms)

    reports = [report(number) for number in range(200)]
    receivers = [busy_quota() for _ in range(N_ROUNDS + 1)]
    rounds = iter(receivers)

    def receive(number: int) -> None:
        nonlocal quota
        if number == 0:
            quota = next(rounds)
        now_ms = 400.0 * number
        quota.on_report("i1", Stream(1, 1), reports[number], True, now_ms)

    print(f"charge and refund: {best_us(charge_and_refund, N_CALLS):.1f} us")
    build = best_us(lambda _: quota.report_for("i1", 1.0), 2_000)
    print(f"report for one follower: {build:.1f} us")
    counters = QuotaCounters(*report(5))
    for name, found in (("without", None), ("with", counters)):
        value = digest(found)
        data = encode_digest(value)
        encode_us = best_us(lambda _, value=value: encode_digest(value), 2_000)
        decode_us = best_us(lambda _, data=data: decode_digest(data), 2_000)
        print(
            f"digest {name} {N_ACCOUNTS} accounts: {len(data)} bytes, "
            f"encode {encode_us:.1f} us, decode {decode_us:.1f} us"
        )
    print(f"apply a report: {best_us(receive, 200):.1f} us")


if __name__ == "__main__":
    main()
