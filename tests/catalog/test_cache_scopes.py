"""Which client accounts share cached parts, and what isolating one changes."""

import pytest

from buckthornrock.catalog.cache_scopes import (
    MAX_NAME_CHARS,
    MAX_REMOVED_ACCOUNTS,
    merge_isolated,
)
from buckthornrock.catalog.configuration import (
    ClientAccount,
    ClientLimits,
    Configuration,
)
from buckthornrock.catalog.route_table import RouteTable
from buckthornrock.scheduling.prompt import cache_salt


def scopes(isolated, names=("one", "two", "three"), version=1):
    """Return the cache scope of each account in a configuration."""
    accounts = {f"key-{name}": ClientAccount(name, None) for name in names}
    configuration = Configuration(
        version, (), {}, (), accounts, True, ClientLimits(), frozenset(isolated)
    )
    table = RouteTable(configuration)
    return {account.name: table.cache_scope(account) for account in accounts.values()}


@pytest.mark.parametrize(
    ("isolated", "shared"),
    [
        ([], {"one", "two", "three"}),
        (["one"], {"two", "three"}),
        (["one", "two"], {"three"}),
        (["one", "two", "three"], set()),
    ],
)
def test_only_accounts_that_are_not_isolated_share_a_scope(isolated, shared):
    found = scopes(isolated)
    assert len({found[name] for name in shared}) == min(1, len(shared))
    assert len(set(found.values())) == len(isolated) + min(1, len(shared))


# Cached parts of an account that became isolated stayed in use for others (WALL).
@pytest.mark.parametrize(
    ("before", "after", "names_after"),
    [
        ([], ["one"], ("one", "two")),
        (["three"], ["one", "three"], ("one", "two")),
        # An isolated account takes the place of another one.
        (["three"], ["one"], ("one", "two")),
        # The account that becomes isolated loses its keys at the same time.
        ([], ["one"], ("two",)),
        (["three"], ["one", "three"], ("two",)),
    ],
)
def test_parts_of_an_account_that_becomes_isolated_are_out_of_reach(
    before, after, names_after
):
    left = scopes(before)["one"]
    assert left not in scopes(after, names_after).values()


def test_scope_is_a_function_of_the_isolated_accounts_alone():
    one = scopes(["one", "two"], version=1)
    two = scopes(["two", "one"], names=("one", "three", "four"), version=9)
    assert one["three"] == two["three"] == two["four"]
    assert one["one"] == two["one"]


def scope_after(*versions, told=()):
    """Return the shared scope after maps of account to whether it is isolated."""
    known = frozenset()
    for version, accounts in enumerate(versions, 1):
        configuration = Configuration(
            version,
            (),
            {},
            (),
            {f"key-{name}": ClientAccount(name, None) for name in accounts},
            True,
            ClientLimits(),
            frozenset(name for name, is_isolated in accounts.items() if is_isolated),
        )
        known = merge_isolated(known, told, configuration)
    return RouteTable(configuration, known).cache_scope(None)


SHARED, ISOLATED = {"one": False, "two": False}, {"one": True, "two": False}


# Removing an isolated account made what it cached before reachable for others (WALL).
@pytest.mark.parametrize(
    ("versions", "told", "equal"),
    [
        # Neither removing an isolated account nor its return changes the scope.
        ([SHARED, ISOLATED, {"two": False}], (), [ISOLATED]),
        ([SHARED, ISOLATED, {"two": False}, ISOLATED], (), [ISOLATED]),
        ([{"two": False}], ("one",), [ISOLATED]),
        # An account that comes back without being isolated shares its parts again.
        ([ISOLATED, {"two": False}, SHARED], (), [SHARED]),
        # A peer that missed that version repeats what it knew.
        ([ISOLATED, SHARED], ("one",), [SHARED]),
        # An account that wasn't isolated may be removed at no cost.
        ([SHARED, {"two": False}], (), [SHARED]),
    ],
)
def test_removed_accounts_stay_in_the_set_if_they_were_isolated(versions, told, equal):
    assert scope_after(*versions, told=told) == scope_after(*equal)


def test_remembered_accounts_are_bounded():
    """Names arrive from peers, whatever those send."""
    told = [f"{number}" for number in range(2 * MAX_REMOVED_ACCOUNTS)]
    told.append("x" * (MAX_NAME_CHARS + 1))
    configuration = Configuration(1, (), {}, (), {}, True, ClientLimits())
    merged = merge_isolated(frozenset(), told, configuration)
    assert len(merged) == MAX_REMOVED_ACCOUNTS
    assert max(map(len, merged)) <= MAX_NAME_CHARS


# The slash that ends the scope in a salt could be part of an account's name, so that
# two isolated accounts shared cached parts (WALL).
@pytest.mark.parametrize(
    ("one", "other"),
    [
        (("a", "b/c"), ("a/b", "c")),
        (("a/b", "c"), ("a%2Fb", "c")),
        (("a%2Fb", "c"), ("a%252Fb", "c")),
    ],
)
def test_isolated_accounts_with_slashes_in_their_names_share_no_salt(one, other):
    salts = {
        cache_salt(scopes([account], (account,))[account], model, 1)
        for account, model in (one, other)
    }
    assert len(salts) == 2


def test_names_of_isolated_accounts_are_not_run_together():
    assert scopes(["ab", "c"])["one"] != scopes(["a", "bc"])["one"]


def test_scope_without_isolated_accounts_keeps_its_text():
    """Engines hold parts under salts of version 0.1.0, which contain it."""
    assert set(scopes([]).values()) == {"shared"}
    assert scopes(["one"])["one"] == "account=one"
