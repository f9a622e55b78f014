"""Sends one request, with repeats where they are allowed."""

import json
import random
import time

import httpcore
import trio

from trial import clock
from trial.caller import answer, directory, identity, load, settings

MAX_ATTEMPTS = 3
# Below this there is no time for another attempt between regions.
_MIN_REMAINING_S = 0.1
# Shorter than the idle timeout of the daemon's server, so that a request does not meet
# a connection that is being closed.
_KEEPALIVE_EXPIRY_S = 2.0

# Refusals that another VM would repeat, or that repeating can not change.
_FINAL_KINDS = frozenset(
    {
        "key_unknown",
        "key_withdrawn",
        "organisation_mismatch",
        "rate_limited",
        "identity_missing",
        "identity_reused",
        "identity_expired",
        "route_unknown",
        "request_malformed",
        "request_too_large",
    }
)


def open_pools(
    wanted: settings.CallerSettings,
) -> dict[str, httpcore.AsyncConnectionPool]:
    """Return a connection pool for each data centre of callers."""
    return {
        name: httpcore.AsyncConnectionPool(
            local_address=host,
            max_connections=None,
            keepalive_expiry=_KEEPALIVE_EXPIRY_S,
        )
        for name, host in wanted.sources.items()
    }


class Caller:
    """Sends requests and keeps their outcomes.

    Parameters
    ----------
    wanted : settings.CallerSettings
    """

    def __init__(self, wanted: settings.CallerSettings):
        self._settings = wanted
        self._random = random.Random(f"{wanted.seed} identities {time.time()}")
        self._pools = open_pools(wanted)
        self._directory = directory.Directory(
            wanted, self._pools, random.Random(f"{wanted.seed} directory")
        )
        self._outcomes: list[settings.Outcome] = []
        self._late_s = 0.0

    async def run(self) -> settings.CallerReport:
        """Send the whole load and return the outcomes."""
        async with trio.open_nursery() as nursery:
            for intent in load.plan_load(self._settings):
                due = self._settings.start + intent.start
                await trio.sleep(max(0.0, due - clock.now()))
                self._late_s = max(self._late_s, clock.now() - due)
                nursery.start_soon(self._send, intent, due)
        return settings.CallerReport(
            self._outcomes,
            self._directory.lookups,
            self._directory.failed_lookups,
            self._late_s,
        )

    async def _send(self, intent: load.Intent, intended: float) -> None:
        """Send one request; try further VMs while that is allowed and useful."""
        deadline = intended + self._settings.deadline
        once = intent.route.kind == "once"
        own_identity = identity.new_identity(time.time(), self._random) if once else ""
        content = b""
        if intent.route.method == "POST":
            content = json.dumps({"number": intent.number}).encode()
        target = f"{intent.route.path}/{intent.number}?page={intent.number % 7}"
        sent = answer.Sent(intent.route.method, target, content, set(), own_identity)
        attempts: list[settings.Attempt] = []
        vms = await self._directory.find_vms(intent.data_centre)
        for vm in vms[:MAX_ATTEMPTS]:
            if attempts and deadline - clock.now() < _MIN_REMAINING_S:
                break
            attempt = await self._attempt(intent, vm, sent, deadline)
            attempts.append(attempt)
            if attempt.status == 200 or attempt.kind in _FINAL_KINDS:
                break
        last = attempts[-1]
        result = last.kind or ("wrong_answer" if last.fault else "ok")
        self._outcomes.append(
            settings.Outcome(
                intended,
                clock.now(),
                intent.key.organisation if intent.key else "",
                intent.key.name if intent.key else "",
                intent.route.name,
                intent.route.kind,
                own_identity,
                result,
                attempts,
            )
        )

    async def _attempt(
        self,
        intent: load.Intent,
        vm: settings.CallerVm,
        sent: answer.Sent,
        deadline: float,
    ) -> settings.Attempt:
        organisation = intent.key.organisation if intent.key else "open"
        number = identity.new_identity(time.time(), self._random)
        request_id = f"{organisation}.{number}"
        sent.request_ids.add(request_id)
        began = clock.now()
        remaining = max(deadline - began, _MIN_REMAINING_S)
        headers = {
            "Host": f"{vm.host}:{vm.port}",
            "Request-Id": request_id,
            "Trial-Attempt": request_id,
            "Request-Timeout": str(int(remaining * 1000)),
        }
        if intent.key is not None:
            headers["Authorization"] = f"Bearer {intent.key.key}"
        if sent.identity:
            headers["Idempotency-Key"] = sent.identity
        if sent.content:
            headers["Content-Type"] = "application/json"
        own = sent if sent.identity else sent._replace(request_ids={request_id})
        judged = answer.Judged(0, "", "timeout", "")
        # Answers to the deadline come from the daemon; the caller allows for the way.
        with trio.move_on_after(remaining + _MIN_REMAINING_S):
            judged = await self._exchange(intent, vm, own, headers)
        return settings.Attempt(
            request_id,
            vm.vm,
            began,
            clock.now(),
            judged.status,
            judged.ran,
            judged.kind,
            judged.fault,
        )

    async def _exchange(
        self,
        intent: load.Intent,
        vm: settings.CallerVm,
        sent: answer.Sent,
        headers: dict[str, str],
    ) -> answer.Judged:
        try:
            response = await self._pools[intent.data_centre].request(
                sent.method,
                f"http://{vm.host}:{vm.port}{sent.target}",
                headers=headers,
                content=sent.content or None,
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return answer.Judged(0, "", "refused_connection", "")
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            return answer.Judged(0, "", "cut", f"{type(exc).__name__}: {exc}")
        return answer.judge_answer(sent, response)
