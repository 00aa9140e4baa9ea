"""What is accepted while the key-value service has forgotten newer versions."""

import pytest

from buckthornrock.profiles.stored import key_of
from buckthornrock.standins.kv import KvStandin
from tests.store.fake_kv import FakeTime

from .fleet import profile
from .test_versions import NAME, Instance

#: Far more calls than one write is tried again.
N_IGNORED = 40


def fleet_with_forgetful_service(n_remembered):
    """Return two instances at version 3 before a service at ``n_remembered``."""
    time, standin, fleet = FakeTime(), KvStandin(), []
    fleet += [Instance(time, standin, lambda: fleet) for _ in range(2)]
    one, other = fleet
    for version in range(3):
        if version == n_remembered:
            standin.take_snapshot()
        assert one.acceptance.apply(NAME, profile(0.1), version, f"a{version}").is_ok()
    other.acceptance._fetch_from_peers(NAME)
    standin.restore()
    return time, one, other


@pytest.mark.parametrize("n_remembered", [0, 2])
def test_change_on_a_forgotten_version_is_not_called_accepted(n_remembered):
    time, one, other = fleet_with_forgetful_service(n_remembered)
    # The answers: the read, then every copy of the write that gives version 3 back.
    read_back = ("answer", None)
    copies = [("ignored", None), read_back] * N_IGNORED
    one.http.fates = [("answer", None), *copies]
    committed = one.kv.commit

    def commit(transaction):
        outcome = committed(transaction)
        one.http.fates = []
        return outcome

    one.acceptance._kv = one.kv._replace(commit=commit)
    result = one.acceptance.apply(NAME, profile(0.7), n_remembered, "late operator")
    time.advance(60_000.0)
    for instance in (one, other):
        entry = instance.kv.get(key_of(NAME)).ok
        instance.acceptance.reconcile(NAME, entry)
    # The instance knows version 3, so it must not take its place or go below it.
    assert result.is_error()
    assert result.error.found_version == 3
    assert {i.table.get(NAME).author for i in (one, other)} == {"a2"}
