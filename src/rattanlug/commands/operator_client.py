"""Client of the operators' interface of one VM."""

import json
from typing import Any, NamedTuple

import httpcore

from rattanlug.commands import history_entry
from rattanlug.errors import error, kind

# A change is answered after at most 5 s of waiting for a majority, and a slow store
# comes on top of that.
_TIMEOUTS_S = {"connect": 3.0, "write": 5.0, "read": 20.0, "pool": 1.0}
_MAX_ANSWER_BYTES = 32 * 1024 * 1024


class Rules(NamedTuple):
    """The rules in force.

    Attributes
    ----------
    version : int
    text : str
    """

    version: int
    text: str


class Accepted(NamedTuple):
    """A change that the VM took.

    Attributes
    ----------
    version : int
    in_force : bool
        False when it is stored but not yet acknowledged by a majority.
    missing : list of str
        VMs that have not acknowledged it, when the VM names them.
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


class LostRace(NamedTuple):
    """A change that lost against another operator's; nothing of it is applied.

    Attributes
    ----------
    version : int
        Version in force.
    author : str
        Who made it.
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
    """Speaks HTTP/1.1 to one VM; never repeats a request.

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
        answer = self.get("rules")
        return self._shaped(lambda: Rules(int(answer["version"]), str(answer["rules"])))

    def get_history(self) -> list[history_entry.HistoryEntry]:
        """Return the known versions of the rules, the newest first."""
        answer = self.get("history")
        return self._shaped(lambda: history_entry.from_answer(answer))

    def get_snapshots(self) -> list[Any]:
        """Return the service-level counts that the VM holds, its own at least."""
        answer = self.get("burn")
        return self._shaped(lambda: list(answer["snapshots"]))

    def post_rules(self, expected: int, text: str, author: str) -> Accepted | LostRace:
        """Replace the rules if their version is still the expected one."""
        body = {"expected_version": expected, "rules": text, "author": author}
        status, answer = self._request("POST", "rules", body)
        if status == 409 and isinstance(answer, dict) and "changes" in answer:
            return self._shaped(lambda: _lost_race(answer))
        self._check(status, answer)
        return self._shaped(lambda: _accepted(answer))

    def get(self, name: str) -> Any:
        """Return the JSON value at ``/.rattanlug/<name>``.

        Raises
        ------
        error.RattanlugError
            Of the kind that the VM answered, or ``platform_unavailable`` without an
            answer.
        """
        status, answer = self._request("GET", name)
        self._check(status, answer)
        return answer

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
            raise self._unreachable(_lost(method), exc) from exc
        except httpcore.ProtocolError as exc:
            raise self._unreachable(_lost(method), exc) from exc

    def _decode(self, response):
        parts, size = [], 0
        for part in response.iter_stream():
            parts.append(part)
            size += len(part)
            if size > _MAX_ANSWER_BYTES:
                raise self._broken(f"more than {_MAX_ANSWER_BYTES} bytes")
        try:
            return json.loads(b"".join(parts))
        except ValueError:
            raise self._broken(f"status {response.status} without JSON") from None

    def _check(self, status, answer):
        if 200 <= status < 300:
            return
        try:
            error_kind = kind.ErrorKind(answer["kind"])
            detail = str(answer["detail"])
        except (KeyError, TypeError, ValueError):
            raise self._broken(f"status {status} without an error kind") from None
        raise error.RefusedError(error_kind, f"{error_kind.value}: {detail}")

    def _shaped(self, build):
        try:
            return build()
        except (AttributeError, KeyError, TypeError, ValueError):
            raise self._broken("an answer of another form") from None

    def _broken(self, what):
        detail = f"{self._address}: got {what}"
        return error.UpstreamError(kind.ErrorKind.ANSWER_BROKEN, detail)

    def _unreachable(self, what, cause):
        reason = str(cause) or type(cause).__name__
        detail = f"{self._address}: {what} ({reason})"
        return error.PlatformError(kind.ErrorKind.PLATFORM_UNAVAILABLE, detail)


def _lost(method):
    if method == "GET":
        return "no answer"
    return "no answer; see 'rattanlug rules history' for whether the change is stored"


def _accepted(answer):
    missing = [str(each) for each in answer.get("missing", ())]
    return Accepted(int(answer["version"]), bool(answer["in_force"]), missing)


def _lost_race(answer):
    changes = answer["changes"]
    lines = changes.splitlines() if isinstance(changes, str) else changes
    return LostRace(
        int(answer["version"]), str(answer["author"]), [str(each) for each in lines]
    )
