"""A line chart that draws without reading files or naming other sites."""

import pkgutil

import pygal
from pygal import svg, util


class _SelfContainedSvg(svg.Svg):
    """Takes the style sheets through the import system.

    The parent class opens them by path, which fails when the package is imported from
    an archive.
    """

    def add_styles(self):
        """Add the style sheets to the drawing."""
        values = {
            "style": self.graph.style,
            "colors": self.graph.style.get_colors(self.id, self.graph._order),
            "strokes": self.get_strokes(),
            "id": self.id,
        }
        sheets = [
            util.template(
                pkgutil.get_data("pygal", f"css/{name}.css").decode(), **values
            )
            for name in ("base", "style", "graph")
        ]
        node = self.node(self.defs, "style", type="text/css")
        node.text = "\n".join(util.minify_css(each) for each in sheets)

    def add_scripts(self):
        """Add no script; hover effects would need one from another site."""


class LineChart(pygal.Line):
    """Line chart as one self-contained SVG document."""

    def _draw(self):
        self.svg = _SelfContainedSvg(self)
        super()._draw()
