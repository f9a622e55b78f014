"""Orders that a daemon has passed on must be answered after its SIGTERM."""

import asyncio
import pathlib
import random
import signal
from typing import NamedTuple

from standins import backend, case, client, deployment, record

_DAEMONS = 3
_CLIENTS = 100
_SEED = 1
_LENGTH_S = 62.0
_SHORT_WORK_S = 0.005
_ORDER_WORK_S = 4.0
_ORDER_TIMEOUT_S = 6.0
_ORDER_BUDGET_S = 7.0
_ORDER_SHARE = 0.4
# Pause between the head and the body of the first request on a connection.
_BODY_AFTER_S = 0.003
_SIGNAL_PAUSE_S = 2.0
# Clients open no new connections to a daemon this long after its SIGTERM.
_NEW_CONNECTIONS_S = 0.5
_GRACE_S = 6.0
# RULES.md, LOST: from this time after SIGTERM, a backend that is still at work is an
# excuse.
_EXCUSED_FROM_S = _GRACE_S * 5 / 6


class _Sent(NamedTuple):
    answer: client.Answer
    host: str
    sent_at: float
    ended_at: float


class _Daemons:
    """Stops and starts daemons in turn, as the platform does for planned work."""

    def __init__(self, fleet: deployment.Deployment) -> None:
        self._fleet = fleet
        self.up = set(fleet.hosts)
        # Time of each SIGTERM, by host.
        self.terms: list[tuple[str, float]] = []

    async def roll(self, ends_at: float) -> None:
        """Send SIGTERM to one daemon after the other until a time."""
        fleet, index = self._fleet, 0
        while fleet.log.now() < ends_at:
            host = fleet.hosts[index % len(fleet.hosts)]
            index += 1
            await asyncio.sleep(_SIGNAL_PAUSE_S)
            fleet.signal(host, signal.SIGTERM)
            self.terms.append((host, fleet.log.now()))
            await asyncio.sleep(_NEW_CONNECTIONS_S)
            self.up.discard(host)
            while fleet.exit_code(host) is None:
                await asyncio.sleep(0.02)
            fleet.start_daemon(host)
            while not await fleet.is_ready(host):
                await asyncio.sleep(0.05)
            self.up.add(host)


async def _wait_as_told(answer: client.Answer) -> None:
    """Wait for the time that a refusal names."""
    if answer.response is not None and "retry-after" in answer.response.headers:
        await asyncio.sleep(float(answer.response.headers["retry-after"]))


async def _use(
    fleet: deployment.Deployment, daemons: _Daemons, ends_at: float
) -> list[_Sent]:
    """Send requests on a kept connection, each right after the answer before it."""
    orders = []
    log = fleet.log
    while log.now() < ends_at:
        host = random.choice(sorted(daemons.up))
        each = fleet.client(fleet.hosts.index(host))
        first = await each.send(
            "POST", "/preview/1", b"file", body_after_s=_BODY_AFTER_S
        )
        await _wait_as_told(first)
        while each.is_connected and log.now() < ends_at:
            if random.random() >= _ORDER_SHARE:
                await _wait_as_told(await each.send("POST", "/preview/1", b"file"))
                continue
            sent_at = log.now()
            answer = await each.send("POST", "/order/1", b"file", _ORDER_BUDGET_S)
            orders.append(_Sent(answer, host, sent_at, log.now()))
            await _wait_as_told(answer)
        await each.close()
    return orders


def _is_lost(
    sent: _Sent, runs: dict[str, backend.Run], terms: list[tuple[str, float]]
) -> bool:
    """Tell whether an order was lost around planned work without an excuse."""
    run = runs.get(sent.answer.request_id)
    if run is None or sent.answer.status:
        return False
    if sent.ended_at - sent.sent_at >= _ORDER_TIMEOUT_S:
        return False
    return any(
        host == sent.host
        and term <= sent.ended_at <= term + _GRACE_S + 1.0
        and run.at + _ORDER_WORK_S < term + _EXCUSED_FROM_S
        for host, term in terms
    )


async def _play(log: record.Record) -> bool:
    random.seed(_SEED)
    fleet = deployment.Deployment(_DAEMONS, log)
    try:
        zones = list(deployment.ZONES)
        backends = [
            backend.Backend(
                f"i-{index}",
                deployment.SERVICE,
                zones[index % 2],
                20,
                60,
                lambda target: (
                    _ORDER_WORK_S if target.startswith("/order/") else _SHORT_WORK_S
                ),
                log,
            )
            for index in range(6)
        ]
        routes = [
            deployment.route("preview", "safe"),
            deployment.route("order", "unsafe", timeout_s=_ORDER_TIMEOUT_S),
        ]
        await fleet.start(deployment.desired_state(2, routes), backends)
        ends_at = log.now() + _LENGTH_S
        daemons = _Daemons(fleet)
        users = [
            asyncio.create_task(_use(fleet, daemons, ends_at)) for _ in range(_CLIENTS)
        ]
        if case.has_trouble():
            await daemons.roll(ends_at - _GRACE_S - _ORDER_BUDGET_S)
        orders = [each for user in users for each in await user]
        runs = {run.request_id: run for each in backends for run in each.runs}
        lost = [each for each in orders if _is_lost(each, runs, daemons.terms)]
        for each in lost:
            log.write("lost", id=each.answer.request_id, daemon=each.host)
        answered = sum(bool(each.answer.status) for each in orders)
        print(
            f"{len(daemons.terms)} times SIGTERM; {len(orders)} orders sent, "
            f"{answered} answered, {len(lost)} lost"
        )
        return not lost
    finally:
        fleet.end()


if __name__ == "__main__":
    case.run(str(pathlib.Path(__file__).parent), _play)
