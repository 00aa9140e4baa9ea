"""Checks of versions of the weights and of the orders to load them."""

from collections import defaultdict

from .record import Began, Executed, LeaseTaken, Ordered, Record, Wanted
from .violations import Violation, is_in_touch


def weights_version(record: Record) -> list[Violation]:
    """Find prompts that began on weights which they must not run on.

    Those are weights other than the prompt names, and weights that were replaced by a
    confirmed version too long ago. A prompt that names none could run on any.
    """
    return [*_unexpected(record), *_replaced_too_long_ago(record)]


def _replaced_too_long_ago(record: Record) -> list[Violation]:
    """Return a violation for each engine and version that it should have replaced."""
    sent = record.sent_by_id()
    late: dict[tuple[str, int], list[tuple[float, str]]] = defaultdict(list)
    for began in record.all_of(Began):
        newer_s = [w.at_s for w in record.all_of(Wanted) if w.version > began.version]
        request = sent.get(began.request_id)
        if not newer_s or request is None:
            continue
        lag_s = began.at_s - min(newer_s)
        if lag_s <= record.bounds.version_s:
            continue
        if is_in_touch(record, request, began.at_s, began.upstream_id):
            found = (lag_s, began.request_id)
            late[began.upstream_id, began.version].append(found)
    return [
        Violation(
            "weights-version",
            f"began on version {version} at {upstream_id} {min(found)[0]:.2f} s or"
            " more after a newer one was wanted",
            tuple(request_id for _, request_id in found),
        )
        for (upstream_id, version), found in late.items()
    ]


def _unexpected(record: Record) -> list[Violation]:
    """Return a violation for each pair of versions that a prompt names and runs on."""
    ids_by_reason = defaultdict(list)
    for began in record.all_of(Began):
        if began.expected != began.version:
            named = began.expected or "no version"
            reason = f"names {named} and began on version {began.version}"
            ids_by_reason[reason].append(began.request_id)
    return [
        Violation("weights-version", reason, tuple(ids), is_untimed=True)
        for reason, ids in ids_by_reason.items()
    ]


def orders_fenced(record: Record) -> list[Violation]:
    """Find orders of a lease holder beside those of its successor.

    Engines that check fencing execute no order of an older lease after one of a newer
    lease. For other engines, the orders of two holders are apart by a lease's time.
    """
    if record.bounds.requires_fencing:
        return [*_orders_without_lease(record), *_executed_out_of_order(record)]
    return _orders_side_by_side(record)


def _orders_without_lease(record: Record) -> list[Violation]:
    return [
        Violation(
            "orders-fenced",
            f"{ordered.holder} had not taken the lease",
            (ordered.order_id,),
            is_untimed=True,
        )
        for ordered in record.all_of(Ordered)
        if _lease_number(record, ordered) is None
    ]


def _executed_out_of_order(record: Record) -> list[Violation]:
    ordered_by_id = {o.order_id: o for o in record.all_of(Ordered)}
    newest: dict[str, tuple[int, Ordered]] = {}
    found = []
    for executed in sorted(record.all_of(Executed), key=lambda e: e.at_s):
        ordered = ordered_by_id[executed.order_id]
        number = _lease_number(record, ordered)
        if number is None:
            continue
        newest_number, newer = newest.get(ordered.upstream_id, (number, ordered))
        if number >= newest_number:
            newest[ordered.upstream_id] = (number, ordered)
            continue
        reason = (
            f"{ordered.upstream_id} executed an order of {ordered.holder} (fence"
            f" {ordered.fence}) after one of {newer.holder} (fence {newer.fence})"
        )
        ids = (ordered.order_id, newer.order_id)
        found.append(Violation("orders-fenced", reason, ids, is_untimed=True))
    return found


def _lease_number(record: Record, ordered: Ordered) -> int | None:
    """Return the number of the lease that the sender of an order had last taken."""
    numbers = [
        number
        for number, taken in enumerate(record.all_of(LeaseTaken))
        if taken.holder == ordered.holder and taken.at_s <= ordered.at_s
    ]
    return numbers[-1] if numbers else None


def _orders_side_by_side(record: Record) -> list[Violation]:
    by_holder: dict[str, list[Ordered]] = defaultdict(list)
    for ordered in record.all_of(Ordered):
        by_holder[ordered.holder].append(ordered)
    found = []
    for ordered in record.all_of(Ordered):
        for holder, others in by_holder.items():
            if holder == ordered.holder:
                continue
            # Each pair is found at its later order.
            near = [
                other
                for other in others
                if 0.0 <= ordered.at_s - other.at_s < record.bounds.lease_s
            ]
            if near:
                apart_s = ordered.at_s - near[-1].at_s
                reason = f"{ordered.holder} gave it {apart_s:.2f} s after {holder}"
                ids = (ordered.order_id, near[-1].order_id)
                found.append(Violation("orders-fenced", reason, ids))
    return found
