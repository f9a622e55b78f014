"""Handler of requests for a seat by VMs that have just started."""

from rattanlug.daemon import node as daemon_node
from rattanlug.daemon.handlers import registry
from rattanlug.peer import sender
from rattanlug.peer.generated import ttypes


@registry.register(ttypes.ReleaseSeat)
async def release_seat(
    node: daemon_node.Node, message: ttypes.ReleaseSeat, peer: sender.Sender
) -> ttypes.SeatRelease:
    """Start to release a spare seat if this VM has one."""
    seat = node.seats.spare_seat()
    if seat is None or node.seats.releasing:
        return ttypes.SeatRelease(message.seat, False, 0)
    node.seats.release(seat)
    return ttypes.SeatRelease(seat, True, 0)
