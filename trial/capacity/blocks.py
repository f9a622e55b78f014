"""Generated block tables, sites and VM names for the measurements."""

import array
import random

from rattanlug.lookup import block_table

SITES = 880
DATA_CENTRES = 44
VMS_PER_DATA_CENTRE = 111
BLOCKS = 1_600_000


def make_table(blocks: int, seed: int = 1) -> bytes:
    """Return an encoded table of random blocks of at least 256 addresses."""
    rng = random.Random(seed)
    step = (1 << 24) / blocks
    table = block_table.BlockTable()
    ipv4 = table._ipv4
    ipv4.starts = array.array(
        "I", (int(i * step + rng.random() * (step - 1)) << 8 for i in range(blocks))
    )
    ipv4.sites = array.array("H", (rng.randrange(SITES) for _ in range(blocks)))
    return table.to_bytes()


def make_sites(centres: list[str], seed: int = 2) -> dict[int, list[str]]:
    """Return up to four random data centres for each site."""
    rng = random.Random(seed)
    count = min(4, len(centres))
    return {site: rng.sample(centres, count) for site in range(SITES)}


def make_vms(centre: str, count: int) -> list[str]:
    """Return the names of a data centre's VMs."""
    return [f"entry-{index:03d}.{centre}" for index in range(count)]
