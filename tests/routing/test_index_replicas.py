"""All instances agree on the replicas of each index, computed once per view."""

import pytest

from buckthornrock.membership import InstanceView
from buckthornrock.routing import index_replicas
from buckthornrock.routing.index_replicas import (
    N_INDEX_REPLICAS,
    SMALL_FLEET_N_INSTANCES,
    IndexReplicas,
)


def views(n_instances, start=0):
    ids = range(start, start + n_instances)
    return tuple(InstanceView(f"i{n:03}", "", "fd", "r", "run") for n in ids)


@pytest.mark.parametrize("n_instances", [1, SMALL_FLEET_N_INSTANCES, 9, 40, 340])
def test_every_engine_has_its_index_replicas(n_instances):
    live = views(n_instances)
    instances = [IndexReplicas(view.instance_id) for view in live]
    wanted = n_instances
    if n_instances > SMALL_FLEET_N_INSTANCES:
        wanted = N_INDEX_REPLICAS
    for engine in range(3):
        n_replicas = sum(i.has_replica(live, f"engine-{engine}") for i in instances)
        assert n_replicas == wanted


def test_replicas_are_computed_again_only_when_live_instances_change(monkeypatch):
    n_rankings = 0

    def counted(key, ids):
        nonlocal n_rankings
        n_rankings += 1
        return sorted(ids)

    monkeypatch.setattr(index_replicas, "rank", counted)
    instance = IndexReplicas("i000")
    live = views(20)
    for _ in range(5):
        assert instance.has_replica(live, "engine")
    # A new tuple with equal contents causes no new ranking either.
    assert instance.has_replica(views(20), "engine")
    assert n_rankings == 1
    assert not instance.has_replica(views(20, start=1), "engine")
    assert n_rankings == 2
