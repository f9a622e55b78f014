"""Line chart as an SVG document without references to other files or sites."""

import pkgutil

import pygal
from pygal import svg, util


class _SelfContainedSvg(svg.Svg):
    """Loads the style sheets with ``pkgutil``.

    The parent class opens them by path, which fails if the package is imported from an
    archive.
    """

    def add_styles(self):
        """Add the style sheets to the chart."""
        values = {
            "style": self.graph.style,
            "colors": self.graph.style.get_colors(self.id, self.graph._order),
            "strokes": self.get_strokes(),
            "id": self.id,
        }
        style_sheets = [
            util.template(
                pkgutil.get_data("pygal", f"css/{name}.css").decode(), **values
            )
            for name in ("base", "style", "graph")
        ]
        node = self.node(self.defs, "style", type="text/css")
        node.text = "\n".join(util.minify_css(each) for each in style_sheets)

    def add_scripts(self):
        """Add no scripts; those for hover effects would be loaded from another site."""


class LineChart(pygal.Line):
    """Line chart as one self-contained SVG document."""

    def _draw(self):
        self.svg = _SelfContainedSvg(self)
        super()._draw()
