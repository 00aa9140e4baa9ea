"""Names of the platform's protocol occur only in its adapter."""

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "buckthornrock"
NAMES = re.compile(
    r"(?i:x-buckthornrock)|op/config|op/version|servers/|kv-(key|range|watch|txn|lease|keep)"
    r"|BUCKTHORNROCK_NODE_FILE|\b[Tt]enants?\b|readyAddr|pathPrefix|routeKind|apiKeys"
)


def test_platform_names_occur_only_in_the_adapter():
    found = [
        f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if "platform" not in path.parent.name
        for number, line in enumerate(path.read_text().split("\n"), 1)
        if NAMES.search(line)
    ]
    assert found == []
