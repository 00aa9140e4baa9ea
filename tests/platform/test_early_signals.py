"""Signals that reach a process while it starts."""

import os
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
EXIT_PROBLEMS = 1
LIMIT_S = 30.0


def test_sighup_during_the_start_does_not_end_the_process(tmp_path):
    """A platform that rolls out settings would otherwise kill starting instances."""
    path = tmp_path / "node.toml"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "buckthornrock", "serve"],
        cwd=ROOT,
        env={**os.environ, "BUCKTHORNROCK_NODE_FILE": str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        # Opening waits for the process, which then waits for the settings.
        with open(path, "w") as settings:
            process.send_signal(signal.SIGHUP)
            settings.write("not a settings file")
        assert process.wait(LIMIT_S) == EXIT_PROBLEMS
    finally:
        process.kill()
        process.wait()
