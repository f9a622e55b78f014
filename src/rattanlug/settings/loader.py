"""Reads and checks a settings file."""

import ipaddress
import json
import pathlib

import cattrs
from cattrs import cols, v
from cattrs import errors as cattrs_errors

from rattanlug.errors import error, kind
from rattanlug.settings import address, settings

_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_SCALARS = {str: "a text", int: "a whole number"}


def load_settings(path: str) -> settings.Settings:
    """Read a settings file and check every value before any socket opens.

    Parameters
    ----------
    path : str
        JSON file.

    Returns
    -------
    settings.Settings

    Raises
    ------
    error.InvalidInputError
        With one line for each fault: path in the file, fault, what is accepted.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        data = json.loads(text)
    except OSError as exc:
        raise _invalid(f"{path}: cannot be read: {exc.strerror}") from exc
    except ValueError as exc:
        raise _invalid(f"{path}: not JSON: {exc}") from exc
    try:
        result = _CONVERTER.structure(data, settings.Settings)
    except cattrs_errors.BaseValidationError as exc:
        lines = v.transform_error(exc, format_exception=_describe)
        raise _invalid("\n".join(f"{path}: {line}" for line in lines)) from exc
    return result


def _invalid(detail: str) -> error.InvalidInputError:
    return error.InvalidInputError(kind.ErrorKind.SETTINGS_INVALID, detail)


def _describe(exc: BaseException, expected: type | None) -> str:
    if isinstance(exc, KeyError):
        return f"the required field {exc.args[0]!r} is missing"
    if isinstance(exc, cattrs_errors.ForbiddenExtraKeysError):
        fields = ", ".join(sorted(exc.extra_fields))
        accepted = ", ".join(getattr(exc.cl, "_fields", ()))
        return f"unknown field {fields}; accepted: {accepted}"
    return str(exc)


def _strict(value, expected):
    if type(value) is not expected:
        raise ValueError(f"got {value!r}; accepted: {_SCALARS[expected]}")
    return value


def _structure_address(value, _):
    result = _structure_address_fields(value, address.Address)
    try:
        ipaddress.ip_address(result.host)
    except ValueError as exc:
        raise ValueError(
            f"host {result.host!r} is not an address; accepted: an IPv4 or IPv6 number"
        ) from exc
    if not 1 <= result.port <= 65535:
        raise ValueError(f"port {result.port} is out of range; accepted: 1 to 65535")
    return result


def _structure_settings(value, _):
    result = _structure_settings_fields(value, settings.Settings)
    if result.log_level not in _LOG_LEVELS:
        raise ValueError(
            f"log_level {result.log_level!r}; accepted: {', '.join(_LOG_LEVELS)}"
        )
    digest = result.operator_token_digest
    if digest and (len(digest) != 64 or set(digest) - set("0123456789abcdef")):
        raise ValueError("operator_token_digest; accepted: 64 hexadecimal digits")
    return result


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
for _scalar in _SCALARS:
    _CONVERTER.register_structure_hook(_scalar, _strict)
_structure_address_fields = cols.namedtuple_dict_structure_factory(
    address.Address, _CONVERTER, forbid_extra_keys=True
)
_CONVERTER.register_structure_hook(address.Address, _structure_address)
_structure_settings_fields = cols.namedtuple_dict_structure_factory(
    settings.Settings, _CONVERTER, forbid_extra_keys=True
)
_CONVERTER.register_structure_hook(settings.Settings, _structure_settings)
