"""``rattanlug burn``: shows how fast each error budget is used up."""

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
    description="Service-level counts are read from the given VM and each --also.",
)
class Burn(target.Target):
    """Show how fast each error budget burns.

    The burn rate is the share of bad requests divided by the share that the
    service-level objective allows.
    """

    also: Annotated[
        list[str],
        cappa.Arg(
            long="--also",
            value_name="HOST:PORT",
            help="Another VM whose service-level counts are added; may be repeated.",
        ),
    ] = dataclasses.field(default_factory=list)
    svg: Annotated[
        str | None,
        cappa.Arg(long="--svg", value_name="FILE", help="Write a drawing as well."),
    ] = None

    def __call__(self) -> None:
        """Print the burn report; write the chart too if ``--svg`` is given."""
        # Imported here because the drawing library doubles the start time.
        from rattanlug.slo import report

        objectives = parser.parse_rules(self.client().get_rules().text).objectives
        snapshots = []
        for vm in (self.vm, *self.also):
            snapshots += self.client(vm).get_snapshots()
        now = time.time()
        try:
            text = report.render_text(snapshots, objectives, now)
            chart = report.render_svg(snapshots, objectives, now)
        except (KeyError, TypeError, ValueError) as exc:
            raise error.UpstreamError(
                kind.ErrorKind.ANSWER_BROKEN,
                f"service-level counts in an unknown format: {exc!r}",
            ) from exc
        print(text, end="")
        if self.svg is not None:
            pathlib.Path(self.svg).write_text(chart, encoding="utf-8")
