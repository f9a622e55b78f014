"""Loads and validates a settings file."""

import json
import pathlib

import cattrs
from cattrs import cols
from cattrs import errors as cattrs_errors

from rattanlug.errors import error, kind
from rattanlug.settings import address, checks, daemon_settings, validation_errors

_Addresses = list[address.Address]


def load_settings(path: str) -> daemon_settings.DaemonSettings:
    """Read a settings file and check every value before any socket is opened.

    Parameters
    ----------
    path : str
        JSON file.

    Returns
    -------
    daemon_settings.DaemonSettings

    Raises
    ------
    error.InvalidInputError
        Of kind ``settings_invalid``, with one line of detail for each error: file,
        place in the file, problem, accepted values.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        data = json.loads(text, object_pairs_hook=_unique_fields)
    except OSError as exc:
        raise _invalid(path, [f"cannot be read: {exc.strerror}"]) from exc
    except json.JSONDecodeError as exc:
        place = f"line {exc.lineno}, column {exc.colno}"
        raise _invalid(path, [f"{place}: {exc.msg}; accepted: JSON"]) from exc
    except (ValueError, RecursionError) as exc:
        raise _invalid(path, [f"{exc}; accepted: JSON in UTF-8"]) from exc
    try:
        return _CONVERTER.structure(data, daemon_settings.DaemonSettings)
    except (
        cattrs_errors.BaseValidationError,
        validation_errors.InvalidValueError,
    ) as exc:
        raise _invalid(path, validation_errors.describe(exc, _describe_type)) from exc


def _invalid(path, lines):
    detail = "\n".join(f"{path}: {line}" for line in lines)
    return error.InvalidInputError(kind.ErrorKind.SETTINGS_INVALID, detail)


def _unique_fields(pairs):
    result = dict(pairs)
    if len(result) < len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"{', '.join(twice)}: given twice")
    return result


def _describe_type(expected):
    if expected in checks.CHECKS:
        return checks.CHECKS[expected].accepted
    if expected == _Addresses:
        return f"a list of objects with {', '.join(address.Address._fields)}"
    return f"an object with {', '.join(expected._fields)}"


def _check_hook(setting_type):
    registered = checks.CHECKS[setting_type]

    def structure(value, _):
        try:
            return registered.check(value)
        except ValueError:
            raise validation_errors.InvalidValueError(
                value, registered.accepted
            ) from None

    return structure


def _shape_hook(expected, shape, build):
    def structure(value, _):
        if not isinstance(value, shape):
            raise validation_errors.InvalidValueError(value, _describe_type(expected))
        return build(value, expected)

    return structure


def _new_converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    for each in checks.CHECKS:
        converter.register_structure_hook(each, _check_hook(each))
    for each in (address.Address, daemon_settings.DaemonSettings):
        # The last argument is passed by position, because cattrs takes keyword
        # arguments as overrides of fields.
        build = cols.namedtuple_dict_structure_factory(
            each, converter, "from_converter", True
        )
        converter.register_structure_hook(each, _shape_hook(each, dict, build))
        if each is address.Address:
            build_list = cols.list_structure_factory(_Addresses, converter)
            converter.register_structure_hook_func(
                lambda expected: expected == _Addresses,
                _shape_hook(_Addresses, list, build_list),
            )
    return converter


_CONVERTER = _new_converter()
