"""Starts all processes of a deployment."""

import hashlib
import ipaddress
import json
import pathlib
import secrets
import socket
from typing import Any

import trio
from cattrs.preconf import json as json_converter

from rattanlug.lookup import block_change, block_table
from trial import deployment, http_client, metrics_text, processes
from trial.relay import build

DAEMON_ARGUMENTS = ("-m", "rattanlug", "daemon")
_FIRST_OCTET = 10
_LAST_OCTET = 250
_RESERVATION_PORT = 8999
_READY_TIMEOUT_S = 15.0
_CONVERTER = json_converter.make_converter()


class LaunchError(Exception):
    """A process did not start or respond, or rules were not accepted."""


def reserve_octet() -> tuple[int, socket.socket]:
    """Reserve a range of loopback addresses that no other trial uses.

    Returns
    -------
    int
        Second octet of the range.
    socket.socket
        Socket that holds the reservation until it is closed.
    """
    for octet in range(_FIRST_OCTET, _LAST_OCTET, 2):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{octet}.0.1", _RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        reservation.listen()
        return octet, reservation
    raise LaunchError("no free range of loopback addresses")


class Launcher:
    """Starts the processes of a deployment and sends requests to them.

    Parameters
    ----------
    plan : deployment.Deployment
    places : deployment.Places
    started : processes.Processes
    directory : pathlib.Path
        For settings files.
    seed : int
    """

    def __init__(
        self,
        plan: deployment.Deployment,
        places: deployment.Places,
        started: processes.Processes,
        directory: pathlib.Path,
        seed: int,
    ):
        self._plan = plan
        self._places = places
        self._processes = started
        self._directory = directory
        self._seed = seed
        self._operator_token = secrets.token_hex(16)
        self._keys = {
            f"{each.name}/main": secrets.token_hex(20) for each in plan.organisations
        }
        first = plan.organisations[0].name
        self._keys[f"{first}/old"] = secrets.token_hex(20)

    @property
    def keys(self) -> dict[str, str]:
        """Key by name."""
        return self._keys

    @property
    def operator_token(self) -> str:
        """Token of operators' requests."""
        return self._operator_token

    @property
    def operator_headers(self) -> dict[str, str]:
        """Headers of operators' requests."""
        return {"Authorization": f"Bearer {self._operator_token}"}

    def write_token_file(self) -> pathlib.Path:
        """Write the operator token to a file for the command line; return its path."""
        path = self._directory / "operator-token"
        path.write_text(self._operator_token + "\n")
        return path

    async def start_stand_ins(self) -> None:
        """Start the platform, upstreams and relays and wait until they listen."""
        self._processes.start(
            "platform",
            ["-m", "trial", "platform", "--host", self._places.platform_host]
            + ["--port", str(deployment.PLATFORM_PORT)],
        )
        for each in self._places.upstreams:
            self.start_upstream(each)
        if self._places.relayed:
            self._start_relays()
        await self._wait_listening(
            "platform", self._places.platform_host, deployment.PLATFORM_PORT
        )
        for each in self._places.upstreams:
            await self._wait_listening(
                each.name, each.advertised_host, deployment.UPSTREAM_PORT
            )
        await self._wait_listening(
            "platform", self._places.advertised_platform_host, deployment.PLATFORM_PORT
        )

    def start_upstream(self, place: deployment.UpstreamPlace) -> int:
        """Start one upstream and return its process id."""
        arguments = ["-m", "trial", "upstream", "--host", place.host]
        arguments += ["--port", str(deployment.UPSTREAM_PORT)]
        arguments += ["--name", place.name, "--service", place.service]
        arguments += ["--version", place.version, "--slots", str(place.slots)]
        arguments += ["--connections", str(place.connections)]
        arguments += ["--seed", str(self._seed)]
        return self._processes.start(place.name, arguments)

    async def store_block_table(self) -> None:
        """Store the table that maps each client's address block to a data centre."""
        table = block_table.BlockTable()
        identifiers = {
            name: identifier
            for identifier, (name, _) in enumerate(sorted(self._plan.data_centres), 1)
        }
        changes = [
            block_change.BlockChange(
                int(ipaddress.ip_network(f"{host}/24", strict=False).network_address),
                identifiers[name],
            )
            for name, host in self._places.client_hosts.items()
        ]
        changes.sort(key=lambda change: change.start)
        table.apply(block_table.pack_changes(0, changes))
        await http_client.request(
            self._places.platform_host,
            deployment.PLATFORM_PORT,
            "PUT",
            "/v1/objects/lookup%2Fblocks",
            table.to_bytes(),
        )

    async def start_daemons(self) -> None:
        """Start the entry daemons and wait until they listen."""
        await self.store_block_table()
        for each in self._places.vms:
            await self.set_vm_state(each, "live")
            self.start_daemon(each)
        for each in self._places.vms:
            await self._wait_listening(each.vm, each.host, deployment.VM_PORT)
            await self._wait_listening(
                each.vm, each.advertised_host, deployment.PEER_PORT
            )

    def _start_relays(self) -> None:
        for name in self._places.relay_hosts:
            settings = build.build_plan(self._plan, self._places, name)
            path = self._directory / f"relay-{name}.json"
            path.write_text(_CONVERTER.dumps(settings))
            self._processes.start(
                f"relay-{name}", ["-m", "trial", "relay", "--settings", str(path)]
            )

    async def cut(self, pairs: list[list[str]]) -> None:
        """Cut exactly these pairs, each of data centres or one and ``platform``."""
        for host in self._places.relay_hosts.values():
            await http_client.request(
                host, deployment.RELAY_PORT, "POST", "/.control", {"cut": pairs}
            )

    def start_daemon(self, place: deployment.VmPlace) -> int:
        """Start one entry daemon and return its process id."""
        path = self._directory / f"{place.vm}.json"
        path.write_text(json.dumps(self.daemon_settings(place), indent=1))
        return self._processes.start(
            place.vm, [*DAEMON_ARGUMENTS, "--settings", str(path)]
        )

    def daemon_settings(self, place: deployment.VmPlace) -> dict[str, Any]:
        """Return the settings of an entry daemon."""
        seeds = [each for each in self._places.vms if each.vm != place.vm]
        peer = deployment.PEER_PORT
        return {
            "vm": place.vm,
            "data_centre": place.data_centre,
            "caller": {"host": place.host, "port": deployment.VM_PORT},
            "peer": {"host": place.host, "port": peer},
            "platform": {
                "host": self._places.advertised_platform_host,
                "port": deployment.PLATFORM_PORT,
            },
            "seeds": [
                {"host": each.advertised_host, "port": peer} for each in seeds[:4]
            ],
            "peer_advertised": {"host": place.advertised_host, "port": peer},
            "operator_token_digest": hashlib.sha256(
                self._operator_token.encode()
            ).hexdigest(),
        }

    async def set_vm_state(self, place: deployment.VmPlace, state: str | None) -> None:
        """Set the state of a VM in the platform's list, or remove it with None."""
        entry: dict[str, Any] = {"vm": place.vm}
        if state is not None:
            entry |= {
                "data_centre": place.data_centre,
                "host": place.advertised_host,
                "port": deployment.VM_PORT,
                "peer_host": place.advertised_host,
                "peer_port": deployment.PEER_PORT,
                "state": state,
            }
        await http_client.request(
            self._places.platform_host,
            deployment.PLATFORM_PORT,
            "POST",
            "/.control/vms",
            entry,
        )

    async def read_rules(self, place: deployment.VmPlace) -> dict[str, Any]:
        """Return the rules that a daemon has in force, with their version."""
        response = await http_client.request(
            place.host,
            deployment.VM_PORT,
            "GET",
            "/.rattanlug/rules",
            headers=self.operator_headers,
        )
        if response.status != 200:
            raise LaunchError(
                f"reading rules: {response.status} {response.body[:300]!r}"
            )
        return response.json()

    async def post_rules(
        self, place: deployment.VmPlace, expected_version: int, lines: list[str]
    ) -> dict[str, Any]:
        """Post rules and return the daemon's response."""
        data = {
            "expected_version": expected_version,
            "rules": "\n".join(lines) + "\n",
            "author": deployment.OPERATOR,
        }
        response = await http_client.request(
            place.host,
            deployment.VM_PORT,
            "POST",
            "/.rattanlug/rules",
            data,
            headers={**self.operator_headers, "Content-Type": "application/json"},
            timeout=10,
        )
        if response.status != 200:
            raise LaunchError(
                f"posting rules: {response.status} {response.body[:300]!r}"
            )
        return response.json()

    async def read_row(self, table: str, key: str) -> dict[str, Any] | None:
        """Return the value of a row of the table service."""
        response = await http_client.request(
            self._places.platform_host,
            deployment.PLATFORM_PORT,
            "GET",
            f"/v1/tables/{table}/{key}",
        )
        if response.status != 200:
            return None
        value = response.json()["value"]
        # Daemons store some rows as JSON text.
        return json.loads(value) if isinstance(value, str) else value

    async def read_violations(self, place: deployment.VmPlace) -> dict[str, int]:
        """Return the violation counts of a daemon.

        Raises
        ------
        LaunchError
            The daemon exposes no counter, so that no violation could be counted.
        """
        response = await http_client.request(
            place.host, deployment.VM_PORT, "GET", "/.rattanlug/metrics"
        )
        counts = metrics_text.read_violations(response.body.decode())
        if not counts:
            raise LaunchError(f"{place.vm} exposes no rattanlug_violations_total")
        return counts

    async def read_record(self, place: deployment.UpstreamPlace) -> dict[str, Any]:
        """Return the record of the requests that an upstream received."""
        response = await http_client.request(
            place.host, deployment.UPSTREAM_PORT, "GET", "/.record"
        )
        return response.json()

    async def apply_initial_rules(self) -> dict[str, Any]:
        """Post the deployment's rules, with retries until the daemons are connected."""
        lines = deployment.build_rule_lines(self._plan, self._places, self._keys)
        failure: Exception = LaunchError("no attempt was made")
        with trio.move_on_after(_READY_TIMEOUT_S):
            while True:
                try:
                    return await self.post_rules(self._places.vms[0], 0, lines)
                except (LaunchError, *http_client.FAILURES) as exc:
                    failure = exc
                await trio.sleep(0.5)
        raise LaunchError(f"initial rules were not accepted: {failure}")

    async def wait_serving(self, timeout: float) -> None:
        """Wait until every daemon reports the state ``serving``."""
        for each in self._places.vms:
            status = ""
            with trio.move_on_after(timeout):
                while status != "serving":
                    status = await self.read_state(each)
                    await trio.sleep(0.1)
            if status != "serving":
                raise LaunchError(
                    f"{each.vm} reports {status!r} after {timeout:g} s\n"
                    + self._processes.read_log(each.vm)
                )

    async def read_state(self, place: deployment.VmPlace) -> str:
        """Return the state that a daemon reports, or why it cannot be read."""
        try:
            response = await http_client.request(
                place.host, deployment.VM_PORT, "GET", "/.rattanlug/ready"
            )
        except http_client.FAILURES as exc:
            return f"unreachable: {type(exc).__name__}"
        text = response.body.decode("utf-8", "replace")
        try:
            state = json.loads(text)
        except ValueError:
            return text.strip()
        return str(state.get("state", text)) if isinstance(state, dict) else str(state)

    async def _wait_listening(self, name: str, host: str, port: int) -> None:
        with trio.move_on_after(_READY_TIMEOUT_S):
            while self._processes.exit_code(name) is None:
                try:
                    stream = await trio.open_tcp_stream(host, port)
                except OSError:
                    await trio.sleep(0.05)
                    continue
                await stream.aclose()
                return
        raise LaunchError(
            f"{name} does not listen on {host}:{port}, exit code "
            f"{self._processes.exit_code(name)}\n{self._processes.read_log(name)}"
        )
