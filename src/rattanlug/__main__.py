"""Runs the command line as ``python -m rattanlug``."""

import sys

from rattanlug.commands import import_patches


def main() -> None:
    """Run the command line and exit with its code."""
    import_patches.disable_find_library()
    # Imported after that, because it imports trio.
    from rattanlug.commands import main as command_line

    sys.exit(command_line.main())


if __name__ == "__main__":
    main()
