"""Every command can be asked for, and bad use exits with 2."""

import pytest
from click.testing import CliRunner

from buckthornrock import __version__
from buckthornrock.commands import MODULES, main

USES = [(["-h"], 0), (["--version"], 0), (["nothing"], 2), (["check"], 2)]
USES += [(["serve", "/does/not/exist.json"], 1), (["check", "/does/not/exist"], 1)]


@pytest.mark.parametrize("name", MODULES)
def test_command_explains_itself(name):
    result = CliRunner().invoke(main, [name, "--help"])
    assert result.exit_code == 0
    assert result.output.startswith("Usage:")


@pytest.mark.parametrize(("arguments", "exit_code"), USES)
def test_exit_code(arguments, exit_code):
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == exit_code
    assert (__version__ in result.output) == ("--version" in arguments)


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_script_is_offered(shell):
    environment = {"_BUCKTHORNROCK_COMPLETE": f"{shell}_source"}
    result = CliRunner(env=environment).invoke(main, prog_name="buckthornrock")
    assert "buckthornrock" in result.output
