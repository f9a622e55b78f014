"""Memory of this process."""

import pathlib
import resource


def resident_mb() -> float:
    """Return the resident memory, megabytes."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6
