"""Registry of the commands, from which the command line is built."""

import dataclasses
import typing

import cappa

import rattanlug
from rattanlug.commands import exit_code

COMMANDS: dict[tuple[str, ...], type] = {}

GROUPS = {
    "settings": "Settings files.",
    "rules": "Rules in force.",
    "organisation": "Organisations.",
    "rate": "Rates of organisations.",
    "key": "Keys of organisations.",
    "move": "Moves between versions of a service.",
    "drain": "Planned drains of upstreams, data centres and VMs.",
}

# Field of every command, since cappa adds --version to the root command only.
_VERSION = typing.Annotated[
    bool,
    cappa.Arg(
        value_name=rattanlug.__version__,
        short="-v",
        long="--version",
        help="Show the version and exit.",
        group=cappa.Group(1, "Help", section=2),
        action=cappa.ArgAction.version,
    ),
]


def command(*path: str, help: str, description: str = ""):
    """Register the decorated class as a command.

    The fields of the class are the arguments of the command; ``__call__`` runs it and
    returns the exit code, None for 0.

    Parameters
    ----------
    *path : str
        Words that select the command, such as ``"rules", "check"``.
    help : str
        One line for the list of commands.
    description : str
        Further text for ``--help`` of the command; the exit codes are appended.
    """

    def register(cls):
        text = f"{description}\n\n{exit_code.DESCRIPTION}".strip()
        cls.__annotations__["version"] = _VERSION
        cls.version = False
        decorated = cappa.command(name=path[-1], help=help, description=text)(
            dataclasses.dataclass(cls)
        )
        COMMANDS[path] = decorated
        return decorated

    return register


def build_root() -> type:
    """Return the root command."""
    top_level = [cls for path, cls in COMMANDS.items() if len(path) == 1]
    for name, group_help in GROUPS.items():
        members = [
            cls for path, cls in COMMANDS.items() if len(path) > 1 and path[0] == name
        ]
        if members:
            top_level.append(_parent(name, group_help, members))
    return _parent("rattanlug", "Global traffic steering.", top_level)


def _parent(name, help_text, members):
    subcommands = cappa.Subcommands[typing.Union[tuple(members)]]  # noqa: UP007
    version = ("version", _VERSION, dataclasses.field(default=False))
    cls = dataclasses.make_dataclass(name, [("command", subcommands), version])
    cls.__doc__ = help_text
    return cappa.command(name=name, help=help_text, description=exit_code.DESCRIPTION)(
        cls
    )
