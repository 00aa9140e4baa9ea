"""Checks of versions of the weights and of the orders to load them."""

from collections import defaultdict

from .record import Began, Executed, LeaseTaken, Ordered, Record, Wanted
from .violations import Violation, is_in_touch


def weights_version(record: Record) -> list[Violation]:
    """Find prompts that began on weights which they must not run on.

    Those are weights other than the prompt names, and weights that were replaced by a
    confirmed version too long ago. A prompt that names none could run on any.
    """
    sent = record.sent_by_id()
    found = []
    for began in record.all_of(Began):
        if began.expected != began.version:
            named = began.expected or "no version"
            reason = f"it names {named} and began on version {began.version}"
            ids = (began.request_id,)
            found.append(Violation("weights-version", reason, ids, is_untimed=True))
        newer_s = [w.at_s for w in record.all_of(Wanted) if w.version > began.version]
        request = sent.get(began.request_id)
        if not newer_s or request is None:
            continue
        lag_s = began.at_s - min(newer_s)
        if lag_s <= record.bounds.version_s:
            continue
        if is_in_touch(record, request, began.at_s, began.upstream_id):
            reason = (
                f"it began on version {began.version} at {began.upstream_id}"
                f" {lag_s:.2f} s after a newer one was wanted"
            )
            found.append(Violation("weights-version", reason, (began.request_id,)))
    return found


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
