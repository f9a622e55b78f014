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

# A field of every command, since the library adds --version to the first word only.
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

    Its fields are the arguments; its ``__call__`` runs the command and returns an
    exit code, None for 0.

    Parameters
    ----------
    *path : str
        Words that select the command, such as ``"rules", "check"``.
    help : str
        One line for the list of commands.
    description : str
        More for ``--help`` of the command; the exit codes are added to it.
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
    """Return the class that stands for the whole command line."""
    tops = [cls for path, cls in COMMANDS.items() if len(path) == 1]
    for name, group_help in GROUPS.items():
        members = [
            cls for path, cls in COMMANDS.items() if len(path) > 1 and path[0] == name
        ]
        if members:
            tops.append(_parent(name, group_help, members))
    return _parent("rattanlug", "Global traffic steering.", tops)


def _parent(name, help_text, members):
    subcommands = cappa.Subcommands[typing.Union[tuple(members)]]  # noqa: UP007
    version = ("version", _VERSION, dataclasses.field(default=False))
    cls = dataclasses.make_dataclass(name, [("command", subcommands), version])
    cls.__doc__ = help_text
    return cappa.command(name=name, help=help_text, description=exit_code.DESCRIPTION)(
        cls
    )
