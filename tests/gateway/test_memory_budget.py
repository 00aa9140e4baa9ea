"""Which connection gives way when clients hold too much."""

import pytest

from buckthornrock.gateway.memory_budget import (
    CONNECTION_BYTES,
    MAX_UNSENT_BYTES,
    MIN_UNSENT_BYTES,
    N_RESERVED_DESCRIPTORS,
    STALL_MS,
    BudgetLimits,
    MemoryBudget,
    budget_limits,
    n_client_connections,
    n_upstream_connections,
)

MB = 1_000_000
LARGE = ("o", "o", 4 * MB, 0, 0)


def open_budget(*connections, limits=None):
    """Return a budget with (name, address, bytes, progress, is serving) in it."""
    budget = MemoryBudget(limits or BudgetLimits(10 * MB, 4))
    for name, address, n_bytes, progressed_at_ms, is_serving in connections:
        holding = budget.open(name, address, progressed_at_ms)
        holding.is_serving = is_serving
        budget.hold(holding, n_bytes)
    return budget


@pytest.mark.parametrize(
    ("connections", "expected"),
    [
        # One address holds more than another, though in smaller bodies: a crowd of
        # hostile clients must not push out the large request of another address.
        ([("h1", "h", 3 * MB, 0, 0), ("h2", "h", 3 * MB, 0, 0), LARGE], "h"),
        # Of equal ones, the client that stopped sending gives way to the one that
        # goes on.
        ([("stopped", "a", 4 * MB, 0, 0), ("sends", "a", 4 * MB, 1_000, 0)], "stopped"),
        # A request that waits for an upstream may be running there.
        ([("served", "a", 4 * MB, 0, 1), ("stopped", "a", 2 * MB, 0, 0)], "stopped"),
        # An idle connection frees next to nothing.
        ([("served", "a", 4 * MB, 0, 1), ("idle", "a", 20_000, 0, 0)], "served"),
    ],
)  # fmt: skip
def test_connection_that_gives_up_memory(connections, expected):
    budget = open_budget(*connections)
    assert budget.pick_for_memory(1_000.0).owner.startswith(expected)


@pytest.mark.parametrize(
    ("connections", "expected"),
    [
        # Silent connections of one address must not keep out another address.
        ([("h1", "h", 0, 5, 0), ("h2", "h", 0, 3, 0), ("o", "o", 0, 0, 0)], "h2"),
        # The request that is served stays, though its client has long been silent.
        ([("served", "a", 0, 0, 1), ("idle", "a", 0, 9, 0)], "idle"),
        ([("served", "a", 0, 0, 1)], "served"),
    ],
)
def test_connection_that_is_closed(connections, expected):
    budget = open_budget(*connections)
    assert budget.pick_for_connections(10.0).owner == expected


def test_sums_return_to_zero():
    """A sum that drifts would refuse clients for ever, or none."""
    budget = open_budget()
    holdings = [budget.open(n, str(n % 3), 0.0) for n in range(9)]
    for n, holding in enumerate(holdings):
        budget.hold(holding, n * 1_000)
    assert budget.n_bytes == sum(range(9)) * 1_000
    for holding in holdings * 2:
        budget.close(holding)
        budget.hold(holding, 5_000)
    assert (budget.n_bytes, budget.n_connections) == (0, 0)
    assert budget.pick_for_memory(0.0) is None


def test_limits_are_exceeded_by_one_more():
    budget = open_budget(limits=BudgetLimits(2 * CONNECTION_BYTES, 2))
    budget.open("a", "a", 0.0)
    last = budget.open("b", "a", 0.0)
    assert not budget.is_over_memory
    assert not budget.is_over_connections
    budget.hold(last, CONNECTION_BYTES + 1)
    assert budget.is_over_memory
    budget.open("c", "a", 0.0)
    assert budget.is_over_connections


def test_slow_readers_may_have_less_waiting_as_memory_runs_short():
    budget = open_budget(limits=BudgetLimits(200 * MB, 4))
    assert budget.unsent_limit() == MAX_UNSENT_BYTES
    budget.hold(budget.open("a", "a", 0.0), 195 * MB)
    assert MIN_UNSENT_BYTES < budget.unsent_limit() < MB
    budget.hold(budget.open("b", "b", 0.0), 9 * MB)
    assert budget.unsent_limit() == MIN_UNSENT_BYTES


@pytest.mark.parametrize("memory_mb", [96, 128, 300, 552])
def test_one_request_of_full_size_and_its_response_fit(memory_mb):
    """The smallest machine must serve the largest request in calm conditions."""
    assert budget_limits(memory_mb * MB, 4_100).max_bytes > 2 * 4_194_304 + 4 * MB


@pytest.mark.parametrize("n_descriptors", [300, 400, 4_100])
def test_descriptors_are_shared_out(n_descriptors):
    n_used = n_client_connections(n_descriptors) + n_upstream_connections(n_descriptors)
    assert n_used <= n_descriptors - N_RESERVED_DESCRIPTORS


def test_stall_begins_without_progress():
    budget = open_budget()
    holding = budget.open("a", "a", 0.0)
    assert holding.activity(STALL_MS - 1).name == "RECEIVING"
    assert holding.activity(STALL_MS).name == "STALLED"
