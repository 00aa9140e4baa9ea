"""What a run of the load tool does, as a JSON file says it."""

from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from .errors import BadSpec


class Flood(msgspec.Struct, frozen=True):
    """A time in which one work class arrives ``factor`` times as often."""

    work_class: str
    at_ms: float
    for_ms: float
    factor: float = 5.0


class LoadSpec(msgspec.Struct, frozen=True):
    """One run.

    Parameters
    ----------
    targets : tuple of str
        Base URLs of the callers' ports; each request goes to one at random.
    mix : str
        Name of a deployment in :data:`.mixes.MIXES`.
    rate_per_s : float
        Arrivals a second, all classes together, without floods.
    shift_period_ms : float
        Period at which other prefixes become hot.
    deferred_share : float
        Share of the deferrable requests that ask for deferral.
    shard, n_shards : int
        This process sends each ``n_shards``-th arrival from ``shard`` on.
    start_at_wall_ms : int
        Wall-clock time at which all shards start; 0 starts at once.
    grace_ms : float
        How long answers are awaited after the last arrival.
    """

    targets: tuple[str, ...]
    mix: str
    rate_per_s: float
    duration_ms: float
    keys: dict[str, str]
    seed: int = 1
    shift_period_ms: float = 4_000.0
    deferred_share: float = 0.0
    floods: tuple[Flood, ...] = ()
    shard: int = 0
    n_shards: int = 1
    start_at_wall_ms: int = 0
    grace_ms: float = 15_000.0
    note: str = ""


def load_spec(path: str) -> Result[LoadSpec, BadSpec]:
    """Return the spec in the JSON file at ``path``."""
    try:
        return Ok(msgspec.json.decode(Path(path).read_bytes(), type=LoadSpec))
    except (OSError, msgspec.MsgspecError) as error:
        return Error(BadSpec(path, str(error)))
