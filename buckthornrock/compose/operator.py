"""Wires the operators' port."""

from collections.abc import Callable

from ..entry import EntryContext
from ..httpd import HttpServer
from ..membership import MembershipPort
from ..operator import OperatorContext, OperatorRoute, build_body_check, build_operator
from ..operator.profiles import profile_routes
from ..operator.reports import report_routes
from ..telemetry.burn import BurnDocument
from .client_limits import ClientPort, start_port
from .core import Core


def start_operator(
    core: Core,
    entry_context: EntryContext,
    membership: MembershipPort,
    is_ready: Callable[[], bool],
    more_routes: tuple[OperatorRoute, ...],
) -> HttpServer:
    """Start the operators' port."""
    section = core.settings.operator
    operator_context = OperatorContext(
        keys_sha256=section.keys_sha256,
        is_ready=is_ready,
        status=lambda: _status(core, entry_context, membership),
        routes=(
            *profile_routes(entry_context.profiles),
            *_report_routes(core),
            *more_routes,
        ),
    )
    handler = build_operator(operator_context)
    return start_port(
        core,
        ClientPort("operator", section, handler, build_body_check(operator_context)),
    )


def _report_routes(core: Core) -> tuple[OperatorRoute, ...]:
    def burn() -> BurnDocument:
        return core.burn.document(core.settings.instance_id, core.clock.now_ms())

    return report_routes(burn, core.telemetry.decisions.find)


def _status(
    core: Core, entry_context: EntryContext, membership: MembershipPort
) -> dict:
    records = [
        entry_context.profiles.current(name).ok
        for name in entry_context.profiles.names()
    ]
    return {
        "instance_id": core.settings.instance_id,
        "failure_domain": core.settings.failure_domain,
        "incarnation": membership.self_view().incarnation,
        "kv": "answering" if core.kv.is_answering() else "failing",
        "live": [view.instance_id for view in membership.live()],
        "profiles": {r.name: {"version": r.version, "trust": r.trust} for r in records},
    }
