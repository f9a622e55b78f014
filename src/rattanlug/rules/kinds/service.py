"""``service NAME version=NAME deadline=SECONDS``."""

from rattanlug.model import service
from rattanlug.rules import registry, values


@registry.rule_kind(
    "service", fields={"version": values.name, "deadline": values.duration}
)
def build_service(parts, fields):
    """Return the record of a ``service`` line."""
    return service.Service(parts[0], fields["version"], fields["deadline"])
