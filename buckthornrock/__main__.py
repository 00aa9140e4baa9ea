"""Run the command line with ``python -m buckthornrock``."""

import signal
import sys

if __name__ == "__main__" and sys.argv[1:2] == ["serve"]:
    # The platform sends SIGHUP for new settings also to a process that is still
    # starting, which it would end. The other imports take most of a start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .commands import main

if __name__ == "__main__":
    main()
