"""Writes what a run observed, so that a violation can be traced."""

import json
import pathlib
from collections.abc import Iterator

from soak import deployment as deployment_module
from soak import history
from trial.shared_platform import upstream


def write(
    path: pathlib.Path,
    observations: history.History,
    deployed: deployment_module.Deployment,
) -> None:
    """Write events, states, disturbances, requests and arrivals as JSON lines."""
    lines = sorted(_lines(observations, deployed), key=lambda each: each["at"])
    path.write_text("".join(json.dumps(each) + "\n" for each in lines))


def _lines(
    observations: history.History, deployed: deployment_module.Deployment
) -> Iterator[dict]:
    for each in observations.events:
        yield {"at": each.at, "event": each.kind, "subject": each.subject}
    for each in observations.states:
        yield {"event": "state", **each._asdict()}
    for vm, times in observations.terminations.items():
        for at in times:
            yield {"at": at, "event": "SIGTERM", "subject": vm}
    for kind in ("disturbances", "stops"):
        for subject, intervals in getattr(observations, kind).items():
            for begin, end in intervals:
                until = None if end == float("inf") else end
                yield {"at": begin, "event": kind, "subject": subject, "until": until}
    for process, intervals in observations.stalls.items():
        for begin, end in intervals:
            yield {"at": begin, "event": "stall", "process": process, "until": end}
    for each in observations.exchanges:
        fields = each._asdict()
        del fields["body"]
        yield {"at": each.sent_at, "event": "request", **fields}
    for registered in deployed.all_upstreams():
        stand_in = registered.stand_in
        for each in stand_in.executions:
            yield {
                "at": each.at,
                "event": "run",
                "request_id": each.request_id,
                "upstream": each.upstream,
            }
        if not isinstance(stand_in, upstream.Upstream):
            for each in stand_in.arrivals:
                name = {"upstream": stand_in.name, "born": registered.born}
                yield {"event": "arrival", **name, **each._asdict()}
