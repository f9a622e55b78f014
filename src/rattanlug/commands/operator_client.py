"""Client of the operators' interface of one VM, the paths under ``/.rattanlug/``."""

import json
from typing import Any, NamedTuple

import httpcore

from rattanlug.commands import history_entry
from rattanlug.encoding import json_text
from rattanlug.errors import error, kind

# The VM waits up to 5 s for a majority before it responds to a change; a slow store
# adds to that.
_TIMEOUTS_S = {"connect": 3.0, "write": 5.0, "read": 20.0, "pool": 1.0}
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class Rules(NamedTuple):
    """The rules in force.

    Attributes
    ----------
    version : int
    text : str
    """

    version: int
    text: str


class AcceptedChange(NamedTuple):
    """A change that the VM accepted.

    Attributes
    ----------
    version : int
    in_force : bool
        False when it is stored but not yet acknowledged by a majority.
    missing : list of str
        VMs that have not acknowledged it, if the VM reports them.
    """

    version: int
    in_force: bool
    missing: list[str]

    def describe(self) -> str:
        """Return the outcome in one line."""
        if self.in_force:
            return f"accepted as version {self.version}, in force"
        names = f"; waiting for {', '.join(self.missing)}" if self.missing else ""
        return f"stored as version {self.version}, not yet in force everywhere{names}"


class VersionConflict(NamedTuple):
    """The change was rejected because another operator's change came first.

    Attributes
    ----------
    version : int
        Version in force.
    author : str
        Who made that version.
    changes : list of str
        Lines that it removed (``-``) and added (``+``).
    """

    version: int
    author: str
    changes: list[str]

    def describe(self) -> str:
        """Return the outcome with the other operator's change."""
        lines = [f"nothing changed: version {self.version} came first"]
        lines[0] += f", by {self.author}"
        return "\n".join([*lines, *(f"  {each}" for each in self.changes)])


class OperatorClient:
    """HTTP/1.1 client of one VM; never retries a request.

    Parameters
    ----------
    host : str
        IP address.
    port : int
    token : str
        Operator token.
    """

    def __init__(self, host: str, port: int, token: str):
        self._address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self._token = token

    def get_rules(self) -> Rules:
        """Return the rules in force with their version."""
        data = self.get("rules")
        return self._parse(lambda: Rules(int(data["version"]), str(data["rules"])))

    def get_history(self) -> list[history_entry.HistoryEntry]:
        """Return the known versions of the rules, the newest first."""
        data = self.get("history")
        return self._parse(lambda: history_entry.from_json(data))

    def get_snapshots(self) -> list[Any]:
        """Return the service-level counts that the VM has, including its own."""
        data = self.get("burn")
        return self._parse(lambda: list(data["snapshots"]))

    def post_rules(
        self, expected: int, text: str, author: str
    ) -> AcceptedChange | VersionConflict:
        """Replace the rules if their version is still the expected one."""
        body = {"expected_version": expected, "rules": text, "author": author}
        status, data = self._request("POST", "rules", body)
        if status == 409 and isinstance(data, dict) and "changes" in data:
            return self._parse(lambda: _version_conflict(data))
        self._check(status, data)
        return self._parse(lambda: _accepted_change(data))

    def get(self, name: str) -> Any:
        """Return the JSON value at ``/.rattanlug/<name>``.

        Raises
        ------
        error.RattanlugError
            Of the kind in the VM's response, or ``platform_unavailable`` without a
            response.
        """
        status, data = self._request("GET", name)
        self._check(status, data)
        return data

    def _request(self, method, name, body=None):
        content = None if body is None else json.dumps(body).encode()
        headers = {
            "Host": self._address,
            "Authorization": f"Bearer {self._token}",
            "Accept": "application/json",
        }
        if content is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(content))
        url = f"http://{self._address}/.rattanlug/{name}"
        try:
            with (
                httpcore.ConnectionPool() as pool,
                pool.stream(
                    method,
                    url,
                    headers=headers,
                    content=content,
                    extensions={"timeout": _TIMEOUTS_S},
                ) as response,
            ):
                return response.status, self._decode(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
            raise self._unreachable("no connection; nothing was sent", exc) from exc
        except (httpcore.TimeoutException, httpcore.NetworkError) as exc:
            raise self._unreachable(_no_response_message(method), exc) from exc
        except httpcore.ProtocolError as exc:
            raise self._unreachable(_no_response_message(method), exc) from exc

    def _decode(self, response):
        parts, size = [], 0
        for part in response.iter_stream():
            parts.append(part)
            size += len(part)
            if size > _MAX_RESPONSE_BYTES:
                raise self._broken_response(f"more than {_MAX_RESPONSE_BYTES} bytes")
        try:
            return json_text.decode(b"".join(parts))
        except ValueError:
            raise self._broken_response(
                f"status {response.status} without JSON"
            ) from None

    def _check(self, status, data):
        if 200 <= status < 300:
            return
        try:
            error_kind = kind.ErrorKind(data["kind"])
            detail = str(data["detail"])
        except (KeyError, TypeError, ValueError):
            raise self._broken_response(
                f"status {status} without an error kind"
            ) from None
        raise error.RefusedError(error_kind, f"{error_kind.value}: {detail}")

    def _parse(self, build):
        try:
            return build()
        except (AttributeError, KeyError, TypeError, ValueError):
            raise self._broken_response("a response in an unknown format") from None

    def _broken_response(self, what):
        detail = f"{self._address}: got {what}"
        return error.UpstreamError(kind.ErrorKind.ANSWER_BROKEN, detail)

    def _unreachable(self, what, cause):
        reason = str(cause) or type(cause).__name__
        detail = f"{self._address}: {what} ({reason})"
        return error.PlatformError(kind.ErrorKind.PLATFORM_UNAVAILABLE, detail)


def _no_response_message(method):
    if method == "GET":
        return "no response"
    return "no response; see 'rattanlug rules history' for whether the change is stored"


def _accepted_change(data):
    missing = [str(each) for each in data.get("missing", ())]
    return AcceptedChange(int(data["version"]), bool(data["in_force"]), missing)


def _version_conflict(data):
    changes = data["changes"]
    lines = changes.splitlines() if isinstance(changes, str) else changes
    return VersionConflict(
        int(data["version"]), str(data["author"]), [str(each) for each in lines]
    )
