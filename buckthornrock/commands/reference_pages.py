"""Renders the reference pages whose source is the code itself."""

from collections.abc import Callable, Iterator
from types import NoneType, UnionType
from typing import NamedTuple, get_args, get_origin, get_type_hints

import msgspec

from ..conf import checks
from ..conf.decoding import MISSING_KEY, UNKNOWN_KEY, WRONG_TYPE
from ..conf.loading import BAD_JSON, UNREADABLE
from ..conf.settings import Settings
from ..entry.problems import RULES
from ..events import CATALOGUE
from ..gateway.explanation_document import QUERY_FIELDS, WHERE_PATH, Explanation
from ..telemetry import metrics

_NOT_RUN = {
    "true": "provably not run",
    "false": "it ran, at least in part",
    "unknown": "may have run",
    None: "said in each case",
}


class Page(NamedTuple):
    """A page and the file below ``docs/`` that holds it."""

    path: str
    render: Callable[[], str]


def render_events() -> str:
    """Return the catalogue of log events."""
    rows = [
        (str(e.number), f"`{e.name}`", e.level, _code_list(e.fields), e.meaning)
        for e in sorted(CATALOGUE.values())
    ]
    intro = (
        "Every log line is one JSON object with `event` (the number), `message_type`\n"
        "(the name), `level` and the fields below. Prompts, answers and keys are\n"
        "never logged."
    )
    head = ("Number", "Name", "Level", "Fields", "Meaning")
    return _page("Log events", "events", intro, head, rows)


def render_metrics() -> str:
    """Return the table of metrics."""
    rows = [
        (f"`{name}`", kind, meaning)
        for name, (kind, meaning) in sorted(metrics.CATALOGUE.items())
    ]
    intro = (
        "Metrics go to a statsd server over UDP when `telemetry.statsd_host` is set.\n"
        "Names start with `telemetry.statsd_prefix` and the instance's id; a label\n"
        "follows the name after a dot."
    )
    return _page("Metrics", "metrics", intro, ("Name", "Kind", "Meaning"), rows)


def render_problems() -> str:
    """Return the table of problem documents."""
    rows = [
        (f"`{kind.code}`", str(rule.status), _NOT_RUN[rule.not_run], rule.title)
        for kind, rule in sorted(RULES.items(), key=lambda item: item[0].code)
    ]
    intro = (
        "A request that is not served gets an RFC 9457 problem document with `code`,\n"
        '`not_run` (`true`, `false` or `"unknown"`) and, where waiting helps, a\n'
        "`Retry-After` header. `not_run: true` is a promise: no upstream received any\n"
        "part of the request, so it may be sent again."
    )
    head = ("Code", "Status", "Run", "Title")
    return _page("Problem documents", "problems", intro, head, rows)


def render_settings() -> str:
    """Return the table of settings."""
    rows = list(_setting_rows(Settings, ""))
    intro = (
        "An instance reads one JSON file. `buckthornrock check FILE` reports every\n"
        "problem of it at once. Fields whose name ends in `secret` or `sha256` are\n"
        "never logged or shown."
    )
    return _page("Settings", "settings", intro, ("Key", "Type", "Default"), rows)


def render_checks() -> str:
    """Return the list of the settings checks' ids."""
    found = {UNKNOWN_KEY: "unknown key", MISSING_KEY: "missing key"}
    found |= {WRONG_TYPE: "wrong type", UNREADABLE: "unreadable file"}
    found |= {BAD_JSON: "malformed JSON"}
    for name, value in vars(checks).items():
        if isinstance(value, str) and value.startswith("SET-"):
            found[value] = name.lower().replace("_", " ")
    rows = [(f"`{id_}`", meaning) for id_, meaning in sorted(found.items())]
    intro = "Each problem names its check's id, the JSON path, what was found, a hint."
    return _page("Settings checks", "checks", intro, ("Id", "Meaning"), rows)


def render_where() -> str:
    """Return the query and the document of an explanation."""
    rows = [(f"`?{name}`", "query", text) for name, text in QUERY_FIELDS.items()]
    rows += _document_rows(Explanation, "")
    intro = (
        "`buckthornrock where HOST PATH --instance IP:PORT` asks an instance on the\n"
        f"platform where a request would go now. It reads `GET {WHERE_PATH}` at the\n"
        "instance's metrics address with the query fields below, and prints the JSON\n"
        "document as text (`--json`: as it is). The instance decides with the code of\n"
        "real requests on a copy of its state: it reserves, counts and sends nothing.\n"
        "The document holds no API key. A query that can't be read, is longer than\n"
        "8,192 bytes or names more than 64 parts gets a 400."
    )
    head = ("Field", "Type", "Meaning")
    return _page("Where a request would go", "where", intro, head, rows)


def _document_rows(kind: type, prefix: str) -> Iterator[tuple[str, str, str]]:
    """Return a row for each field of a document, with those of nested ones below."""
    for key, hint in get_type_hints(kind, include_extras=True).items():
        name = f"{prefix}{key}"
        inner, meta = get_args(hint)
        nested, suffix, type_name = _document_type(inner)
        yield f"`{name}{suffix}`", type_name, meta.description
        if nested is not None:
            yield from _document_rows(nested, f"{name}{suffix}.")


def _document_type(hint: type) -> tuple[type | None, str, str]:
    """Return the nested document, if any, the suffix of its path, and the type name."""
    if get_origin(hint) is list:
        nested, _, item_name = _document_type(get_args(hint)[0])
        return nested, "[]", f"list of {item_name}s"
    if get_origin(hint) is UnionType:
        (inner,) = (kind for kind in get_args(hint) if kind is not NoneType)
        nested, suffix, type_name = _document_type(inner)
        return nested, suffix, f"{type_name} or null"
    if issubclass(hint, msgspec.Struct):
        return hint, "", "object"
    return None, "", {str: "string", bool: "boolean"}.get(hint, "number")


def _setting_rows(section: type, prefix: str) -> Iterator[tuple[str, str, str]]:
    for key, hint in get_type_hints(section).items():
        path = f"{prefix}{key}"
        if hasattr(hint, "_fields"):
            yield from _setting_rows(hint, f"{path}.")
            continue
        default = section._field_defaults.get(key, msgspec.UNSET)
        shown = "required" if default is msgspec.UNSET else f"`{_shown(default)}`"
        yield (f"`{path}`", f"`{_type_name(hint)}`", shown)


def _shown(default: object) -> str:
    return msgspec.json.encode(default).decode()


def _type_name(hint: object) -> str:
    text = hint.__name__ if isinstance(hint, type) else str(hint)
    if not isinstance(hint, type) or "[" in str(hint):
        text = str(hint)
    for package in ("typing.", "buckthornrock.conf.settings."):
        text = text.replace(package, "")
    return text


def _code_list(names: tuple[str, ...]) -> str:
    return ", ".join(f"`{name}`" for name in names)


def _page(
    title: str,
    name: str,
    intro: str,
    head: tuple[str, ...],
    rows: list[tuple[str, ...]],
) -> str:
    lines = [f"# {title}", "", intro, ""]
    lines += [f"This page is the output of `buckthornrock reference {name}`.", ""]
    lines += [_row(head), _row(tuple("---" for _ in head))]
    lines += [_row(row) for row in rows]
    return "\n".join(lines) + "\n"


def _row(cells: tuple[str, ...]) -> str:
    return "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"


#: Page name -> its file and renderer.
PAGES: dict[str, Page] = {
    "events": Page("EVENTS.md", render_events),
    "metrics": Page("ref/metrics.md", render_metrics),
    "problems": Page("ref/problems.md", render_problems),
    "settings": Page("ref/settings.md", render_settings),
    "where": Page("ref/where.md", render_where),
    "checks": Page("ref/checks.md", render_checks),
}
