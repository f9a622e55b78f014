"""Sends the requests of the load, with retries where these are allowed."""

import json
import random
import time

import httpcore
import trio

from trial import clock
from trial.caller import directory, identity, load, response_check, settings

MAX_ATTEMPTS = 3
# With less remaining time, there is no time for another attempt between regions.
_MIN_REMAINING_S = 0.1
# Shorter than the idle timeout of the daemon's server, so that no request is sent on a
# connection that the server is closing.
_KEEPALIVE_EXPIRY_S = 2.0

# Rejections that any other VM would return too, or that a retry cannot change.
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
    caller_settings: settings.CallerSettings,
) -> dict[str, httpcore.AsyncConnectionPool]:
    """Return a connection pool for each data centre of callers."""
    return {
        name: httpcore.AsyncConnectionPool(
            local_address=host,
            max_connections=None,
            keepalive_expiry=_KEEPALIVE_EXPIRY_S,
        )
        for name, host in caller_settings.sources.items()
    }


class Caller:
    """Sends requests and records their outcomes.

    Parameters
    ----------
    caller_settings : settings.CallerSettings
    """

    def __init__(self, caller_settings: settings.CallerSettings):
        self._settings = caller_settings
        self._random = random.Random(f"{caller_settings.seed} identities {time.time()}")
        self._pools = open_pools(caller_settings)
        self._directory = directory.Directory(
            caller_settings,
            self._pools,
            random.Random(f"{caller_settings.seed} directory"),
        )
        self._outcomes: list[settings.Outcome] = []
        self._max_delay_s = 0.0

    async def run(self) -> settings.CallerReport:
        """Send the whole load and return the outcomes."""
        async with trio.open_nursery() as nursery:
            for planned in load.plan_load(self._settings):
                due = self._settings.start + planned.start
                await trio.sleep(max(0.0, due - clock.now()))
                self._max_delay_s = max(self._max_delay_s, clock.now() - due)
                nursery.start_soon(self._send, planned, due)
        return settings.CallerReport(
            self._outcomes,
            self._directory.lookups,
            self._directory.failed_lookups,
            self._max_delay_s,
        )

    async def _send(self, planned: load.PlannedRequest, planned_at: float) -> None:
        """Send one request; retry at other VMs while the outcome and time allow it."""
        deadline = planned_at + self._settings.deadline
        is_once = planned.route.kind == "once"
        operation_identity = (
            identity.new_identity(time.time(), self._random) if is_once else ""
        )
        content = b""
        if planned.route.method == "POST":
            content = json.dumps({"number": planned.number}).encode()
        target = f"{planned.route.path}/{planned.number}?page={planned.number % 7}"
        sent = response_check.SentRequest(
            planned.route.method, target, content, set(), operation_identity
        )
        attempts: list[settings.Attempt] = []
        vms = await self._directory.find_vms(planned.data_centre)
        for vm in vms[:MAX_ATTEMPTS]:
            if attempts and deadline - clock.now() < _MIN_REMAINING_S:
                break
            attempt = await self._attempt(planned, vm, sent, deadline)
            attempts.append(attempt)
            if attempt.status == 200 or attempt.kind in _FINAL_KINDS:
                break
        last = attempts[-1]
        result = last.kind or ("wrong_answer" if last.fault else "ok")
        self._outcomes.append(
            settings.Outcome(
                planned_at,
                clock.now(),
                planned.key.organisation if planned.key else "",
                planned.key.name if planned.key else "",
                planned.route.name,
                planned.route.kind,
                operation_identity,
                result,
                attempts,
            )
        )

    async def _attempt(
        self,
        planned: load.PlannedRequest,
        vm: settings.CallerVm,
        sent: response_check.SentRequest,
        deadline: float,
    ) -> settings.Attempt:
        organisation = planned.key.organisation if planned.key else "open"
        unique_id = identity.new_identity(time.time(), self._random)
        request_id = f"{organisation}.{unique_id}"
        sent.request_ids.add(request_id)
        began = clock.now()
        remaining = max(deadline - began, _MIN_REMAINING_S)
        headers = {
            "Host": f"{vm.host}:{vm.port}",
            "Request-Id": request_id,
            "Trial-Attempt": request_id,
            "Request-Timeout": str(int(remaining * 1000)),
        }
        if planned.key is not None:
            headers["Authorization"] = f"Bearer {planned.key.key}"
        if sent.identity:
            headers["Idempotency-Key"] = sent.identity
        if sent.content:
            headers["Content-Type"] = "application/json"
        expected = sent if sent.identity else sent._replace(request_ids={request_id})
        checked = response_check.CheckedResponse(0, "", "timeout", "")
        # The daemon responds at the deadline; the margin covers the network delay.
        with trio.move_on_after(remaining + _MIN_REMAINING_S):
            checked = await self._exchange(planned, vm, expected, headers)
        return settings.Attempt(
            request_id,
            vm.vm,
            began,
            clock.now(),
            checked.status,
            checked.ran,
            checked.kind,
            checked.fault,
        )

    async def _exchange(
        self,
        planned: load.PlannedRequest,
        vm: settings.CallerVm,
        sent: response_check.SentRequest,
        headers: dict[str, str],
    ) -> response_check.CheckedResponse:
        try:
            response = await self._pools[planned.data_centre].request(
                sent.method,
                f"http://{vm.host}:{vm.port}{sent.target}",
                headers=headers,
                content=sent.content or None,
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return response_check.CheckedResponse(0, "", "refused_connection", "")
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            return response_check.CheckedResponse(
                0, "", "cut", f"{type(exc).__name__}: {exc}"
            )
        return response_check.check_response(sent, response)
