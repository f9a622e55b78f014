"""``rattanlug burn``."""

import dataclasses
import pathlib
import time
from typing import Annotated

import cappa

from rattanlug.commands import registry, target
from rattanlug.errors import error, kind
from rattanlug.rules import parser


@registry.command(
    "burn",
    help="Show how fast each error budget burns.",
    description="Counts are those of the VM given, and of each --also.",
)
class Burn(target.Target):
    """Show how fast each error budget burns."""

    also: Annotated[
        list[str],
        cappa.Arg(
            long="--also",
            value_name="HOST:PORT",
            help="Another VM whose counts are added; may be repeated.",
        ),
    ] = dataclasses.field(default_factory=list)
    svg: Annotated[
        str | None,
        cappa.Arg(long="--svg", value_name="FILE", help="Write a drawing as well."),
    ] = None

    def __call__(self) -> None:
        """Print the report."""
        # Imported here because the drawing library doubles the start time.
        from rattanlug.slo import report

        objectives = parser.parse_rules(self.client().get_rules().text).objectives
        snapshots = []
        for vm in (self.vm, *self.also):
            snapshots += self.client(vm).get_snapshots()
        now = time.time()
        try:
            text = report.render_text(snapshots, objectives, now)
            drawing = report.render_svg(snapshots, objectives, now)
        except (KeyError, TypeError, ValueError) as exc:
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_BROKEN, f"counts in an unknown format: {exc!r}"
            ) from exc
        print(text, end="")
        if self.svg is not None:
            pathlib.Path(self.svg).write_text(drawing, encoding="utf-8")
