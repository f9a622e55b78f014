"""Periodic work of the daemon, one module per loop; importing registers them."""

from rattanlug.daemon.loops import (  # noqa: F401
    advance,
    block_table,
    borrowing,
    gossip,
    head,
    moves,
    reports,
    seats,
    vm_list,
)
