"""Pages that come from the code are held to it; the examples are valid."""

import re
from pathlib import Path

import msgspec
import pytest

from buckthornrock.commands.reference_pages import PAGES
from buckthornrock.conf import load_settings
from buckthornrock.profiles.checks import check_profile

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
PAGES_WITH_LINKS = sorted([ROOT / "README.md", *DOCS.rglob("*.md")])


@pytest.mark.parametrize("name", sorted(PAGES))
def test_page_is_what_the_code_says(name):
    page = PAGES[name]
    hint = f"run: buckthornrock reference {name} > docs/{page.path}"
    assert (DOCS / page.path).read_text() == page.render(), hint


@pytest.mark.parametrize("path", sorted((DOCS / "examples").glob("settings-*.json")))
def test_example_settings_have_no_problems(path):
    result = load_settings(str(path))
    assert result.is_ok(), result.error


@pytest.mark.parametrize("path", sorted((DOCS / "examples").glob("profile-*.json")))
def test_example_profiles_have_no_problems(path):
    assert check_profile("example", msgspec.json.decode(path.read_bytes())) == []


def test_both_deployments_have_examples():
    names = {path.name for path in (DOCS / "examples").glob("settings-*.json")}
    assert names == {"settings-paddock-lane.json", "settings-wieszak.json"}


@pytest.mark.parametrize("path", PAGES_WITH_LINKS, ids=lambda p: p.name)
def test_links_lead_somewhere(path):
    targets = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", path.read_text())
    missing = [t for t in targets if not (path.parent / t).exists()]
    assert missing == []
