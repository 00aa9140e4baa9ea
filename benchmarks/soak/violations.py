"""What a check reports, and whether faults excuse it."""

from typing import NamedTuple

from .record import Disturbed, Record, Sent
from .schedule import CONFIGURATION_KINDS

#: Kinds that are no reason for any failure, since only the wall clock changes.
HARMLESS_KINDS = frozenset(("clock-step",))
#: Planned work, which cuts no one off from the store or its peers.
PLANNED_KINDS = frozenset((*CONFIGURATION_KINDS, "leave", "hangup", "versions"))


class Violation(NamedTuple):
    """A broken rule and the requests that show it.

    ``is_untimed`` says that no bound of time is involved, although the check has one.
    """

    check: str
    reason: str
    request_ids: tuple[str, ...] = ()
    is_untimed: bool = False


def is_in_touch(record: Record, sent: Sent, until_s: float, other="") -> bool:
    """Return whether no fault excuses what became of a request by ``until_s``.

    Beside the instance and the store, faults of ``other`` excuse it, such as those of
    the upstream.
    """
    targets = {sent.instance, "store", "all", other}
    return not any(
        fault.at_s <= until_s and sent.at_s <= fault.until_s + record.bounds.stable_s
        for fault in disturbances(record)
        if fault.target in targets and fault.name.partition(".")[0] not in PLANNED_KINDS
    )


def disturbances(record: Record) -> list[Disturbed]:
    """Return the faults that may excuse something."""
    return [
        fault
        for fault in record.all_of(Disturbed)
        if fault.name.partition(".")[0] not in HARMLESS_KINDS
    ]
