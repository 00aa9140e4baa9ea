"""Changes that are applied after the key-value service lost newer versions."""

import pytest

from buckthornrock.profiles.stored import key_of
from buckthornrock.standins.kv import KvStandin
from tests.store.fake_kv import FakeTime

from .fleet import profile
from .test_versions import NAME, Instance

#: Far more ignored calls than the client retries of one write.
N_IGNORED = 40


def fleet_after_service_lost_versions(n_remembered):
    """Return two instances at version 3, with a service at ``n_remembered``."""
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
def test_change_based_on_a_lost_version_is_refused(n_remembered):
    time, one, other = fleet_after_service_lost_versions(n_remembered)
    # Fates of the calls: the read, then each retry of writing version 3 back.
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
    # The instance knows version 3, so it must not replace it or go to an older one.
    assert result.is_error()
    assert result.error.found_version == 3
    assert {i.table.get(NAME).author for i in (one, other)} == {"a2"}
