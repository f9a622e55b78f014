"""Runs the command line as ``python -m rattanlug``."""

import sys

from rattanlug.commands import single_process


def main() -> None:
    """Run the command line and exit with its code."""
    single_process.prevent_library_searches()
    # Imported after that, because it imports trio.
    from rattanlug.commands import main as command_line

    sys.exit(command_line.main())


if __name__ == "__main__":
    main()
