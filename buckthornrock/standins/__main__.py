"""Runs stand-ins: ``python -m buckthornrock.standins PARAMETERS.json``.

Prints one line of JSON with the port of each part, then runs until it is told to
stop.
"""

import signal
import sys
import threading

import msgspec

from .parameters import load_parameters
from .running import start_standins


def main() -> int:
    """Run the stand-ins of the file that the command line names."""
    parameters = load_parameters(sys.argv[1])
    if parameters.is_error():
        for problem in parameters.error:
            print(f"{problem.path}: found {problem.found}; {problem.hint}")
        return 1
    standins = start_standins(parameters.ok)
    print(msgspec.json.encode(standins.ports).decode(), flush=True)
    stop_requested = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_requested.set())
    stop_requested.wait()
    standins.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
