"""Arguments that select the VM to connect to."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

from rattanlug.commands import operator_client
from rattanlug.errors import error, kind
from rattanlug.rules import values


@dataclasses.dataclass(kw_only=True)
class Target:
    """VM to connect to, and file with the operator's token.

    Attributes
    ----------
    vm : str
        Caller address, ``HOST:PORT``.
    token_file : str
        Path of the file.
    """

    vm: Annotated[
        str,
        cappa.Arg(
            long="--vm",
            value_name="HOST:PORT",
            help="Caller address of any entry VM.",
        ),
    ]
    token_file: Annotated[
        str,
        cappa.Arg(
            long="--token-file",
            value_name="FILE",
            help="File that holds the operator token.",
        ),
    ]

    def client(self, vm: str | None = None) -> operator_client.OperatorClient:
        """Return a client of the VM.

        Raises
        ------
        error.InvalidInputError
            When the address or the token file is not usable.
        """
        try:
            host, port = values.address(vm or self.vm)
        except ValueError as exc:
            raise _invalid(f"--vm: got {vm or self.vm!r}; accepted: {exc}") from exc
        return operator_client.OperatorClient(host, port, self._read_token())

    def _read_token(self):
        path = pathlib.Path(self.token_file)
        try:
            token = path.read_text(encoding="ascii").strip()
        except OSError as exc:
            detail = f"--token-file {path}: cannot be read: {exc.strerror}"
            raise _invalid(detail) from exc
        except UnicodeDecodeError as exc:
            raise _invalid(
                f"--token-file {path}: not ASCII; accepted: ASCII text"
            ) from exc
        if not token or not token.isprintable() or " " in token:
            raise _invalid(
                f"--token-file {path}: not one token; accepted: one token on one line"
            )
        return token


def _invalid(detail):
    return error.InvalidInputError(kind.ErrorKind.SETTINGS_INVALID, detail)
