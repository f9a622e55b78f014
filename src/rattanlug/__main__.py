"""Runs the command line as ``python -m rattanlug``."""

import sys

from rattanlug.commands import main as command_line


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(command_line.main())


if __name__ == "__main__":
    main()
