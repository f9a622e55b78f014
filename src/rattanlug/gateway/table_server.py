"""Server from which other VMs follow the tables of this one."""

import trio

from rattanlug.caller import listener, local_endpoint, memory_reservation
from rattanlug.daemon import background_tasks, clock, socket_close
from rattanlug.errors import error
from rattanlug.gateway import node as node_module
from rattanlug.peer import error as peer_error
from rattanlug.peer import framing
from rattanlug.settings import address
from rattanlug.tables import follow_codec, follow_messages

# Limits how long a follower that does not read its response can hold memory.
SEND_TIMEOUT_SECONDS = 2.0
# Followers send a request more than once a second.
IDLE_TIMEOUT_SECONDS = 10.0
# A request names the tables and their versions.
MAX_REQUEST_BYTES = 16 * 1024


async def run(
    node: node_module.Node,
    max_followers: int,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve followers until cancelled.

    All queued connections are accepted together. After a restart of this VM, every VM
    of its region reconnects at the same time and gives up after a fraction of a second.

    Parameters
    ----------
    node : node.Node
    max_followers : int
        Connections beyond this number are closed at once.
    task_status : optional
        Reports that the listener is open.
    """
    local = address.Address(node.settings.host, node.settings.peer_ports[0])
    listening = await local_endpoint.open_when_available(
        lambda: listener.Listener(local, clock.now, node.counters), local
    )
    try:
        async with trio.open_nursery() as nursery:
            task_status.started()

            async def accept() -> None:
                while True:
                    accepted = await listening.accept()
                    if len(nursery.child_tasks) >= max_followers:
                        node.counters.add("table_followers_refused")
                        await socket_close.aclose(accepted.stream)
                        continue
                    nursery.start_soon(_serve, node, accepted.stream)

            await background_tasks.keep_running("table_listener", accept, node.counters)
    finally:
        listening.close()


async def _serve(node: node_module.Node, stream: trio.SocketStream) -> None:
    reader = framing.FrameReader(stream, MAX_REQUEST_BYTES)
    try:
        while True:
            with trio.fail_after(IDLE_TIMEOUT_SECONDS):
                data = await reader.receive()
            if data is None:
                break
            request = follow_codec.decode_request(data)
            await node.tables.wait(request)
            await _answer(node, stream, request)
    except (
        peer_error.MalformedMessageError,
        error.RefusedError,
        follow_codec.UnreadableMessageError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        trio.TooSlowError,
        ValueError,
    ):
        node.counters.add("table_followers_lost")
    except Exception:
        background_tasks.record_failure("table_follower_connection", node.counters)
    finally:
        await socket_close.aclose(stream)


async def _answer(
    node: node_module.Node,
    stream: trio.SocketStream,
    request: follow_messages.FollowRequest,
) -> None:
    """Send the tables' changes, which count as memory until they are sent.

    Raises
    ------
    error.RefusedError
        The memory for what is held of requests and responses is used up.
    """
    with memory_reservation.MemoryReservation(node.memory) as reservation:
        answer = node.tables.answer(request, clock.now())
        response = framing.frame(follow_codec.encode_answer(answer))
        reservation.add(len(response), len(response))
        node.counters.add("table_answers")
        node.counters.add("table_answer_bytes", len(response))
        with trio.fail_after(SEND_TIMEOUT_SECONDS):
            await stream.send_all(response)
