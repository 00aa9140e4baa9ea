"""Run the command line with ``python -m buckthornrock``."""

from .commands import main

if __name__ == "__main__":
    main()
