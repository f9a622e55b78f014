"""Cost of each role at the size expected in two years, from measured figures."""

from collections.abc import Mapping
from typing import NamedTuple

from trial.capacity import registry, report

_VMS = 4900
_DATA_CENTRES = 44
_VMS_PER_DATA_CENTRE = 111
_DAY_S = 86_400
_RESTARTS_PER_S = 1800 / _DAY_S
_FAILURES_PER_S = 13 / _DAY_S
_CHANGES_PER_S = 3600 / _DAY_S
_LOOK_UPS_PER_S = 350
_ORGANISATIONS = 8
_HEADER_BYTES = 52
_COLUMNS = [
    "what",
    "formula",
    "slope",
    "at two years",
    "limit",
    "kind of figure",
    "mechanism",
]

MEASURED = "measured"
COMPUTED = "computed from measured parts"
ESTIMATE = "estimate"


class Line(NamedTuple):
    """One line of a role's table."""

    what: str
    formula: str
    slope: str
    figure: float
    unit: str
    limit: str
    kind: str
    mechanism: str

    def cells(self) -> list[str]:
        """Return the cells of the table."""
        return [
            self.what,
            self.formula,
            self.slope,
            f"{_round(self.figure)} {self.unit}",
            self.limit,
            self.kind,
            self.mechanism,
        ]


def _round(figure: float) -> str:
    if figure >= 100:
        return f"{figure:,.0f}"
    return f"{figure:.2g}" if figure < 10 else f"{figure:.1f}"


def _table(lines: list[Line], **values: float) -> report.Report:
    return report.Report(_COLUMNS, [line.cells() for line in lines], values)


def _call_bytes(values, request, response):
    # Bytes that one end of a call sends and receives, with headers.
    sizes = values[f"bytes of {request}"] + values[f"bytes of {response}"]
    return sizes + 2 * _HEADER_BYTES


@registry.measurement("role: entry daemon, look-ups")
def look_ups(values: Mapping[str, float]) -> report.Report:
    """Compute the load of every daemon."""
    gossip_bytes_s = values["gossip_bytes 528"]
    restart_bytes = values["restart_bytes 400"] * 16 / 12
    member_change_bytes_s = restart_bytes * (_RESTARTS_PER_S * 2 + _FAILURES_PER_S)
    change_bytes = _call_bytes(values, "PushConfiguration", "Loans")
    config_change_bytes_s = _CHANGES_PER_S * 2 * change_bytes
    look_up_percent = _LOOK_UPS_PER_S * values["call_us"] / 1e6 * 100
    rank_percent = _RESTARTS_PER_S * (values["vm_goes_ms"] + values["vm_comes_ms"]) / 10
    gossip_percent = values["gossip_cpu 528"] * 100
    memory_mb = values["table_peak_mb"] + values["rank_mb"] + values["view_mb"]
    lines = [
        Line(
            "state: block table",
            "6 bytes x blocks; during a change the old and the new one",
            f"{values['table_peak_mb'] / 1.6:.1f} MB per million blocks, peak",
            values["table_peak_mb"],
            "MB",
            "24 MB",
            MEASURED,
            "flat arrays (today's)",
        ),
        Line(
            "state: ranks",
            "4,096 slots x data centres",
            f"{values['rank_mb'] / _DATA_CENTRES:.2f} MB per data centre",
            values["rank_mb"],
            "MB",
            "128 MB in all",
            MEASURED,
            "slots (today's)",
        ),
        Line(
            "state: membership",
            "one record for each member",
            f"{values['view_mb'] / 4884 * 1e3:.2f} MB per 1,000 members",
            values["view_mb"],
            "MB",
            "128 MB in all",
            MEASURED,
            "full membership (today's)",
        ),
        Line(
            "memory in all, without HTTP",
            "interpreter with this code + the three lines above",
            "",
            memory_mb + values["base_mb"],
            "MB",
            "128 MB",
            COMPUTED,
            "",
        ),
        Line(
            "messages: gossip without news",
            "8 exchanges/s x (frame + headers), both directions",
            f"{values['gossip_bytes 1000'] - values['gossip_bytes 100']:.0f} B/s from "
            f"100 VMs in 6 to 1,000 in 9 data centres; "
            "flat from 48 data centres",
            gossip_bytes_s,
            "B/s",
            "9,000 B/s in all",
            MEASURED + " at 528 VMs in 44 data centres; headers estimated",
            "3 + 1 contacts, one byte an age, at most 48 ages (today's)",
        ),
        Line(
            "messages: restarts and deaths",
            "(2 x restarts + deaths) x bytes of one change of a member",
            f"{values['restart_bytes 100']:.0f} bytes at 100 VMs, "
            f"{values['restart_bytes 400']:.0f} at 400; x 16/12 from 1,000 VMs on",
            member_change_bytes_s,
            "B/s",
            "9,000 B/s in all",
            COMPUTED,
            "news sent 4 log10(members) times (today's); the rate of restarts grows "
            "with the fleet",
        ),
        Line(
            "messages: configuration",
            "changes/s x 2 (fetched and passed on) x delta of one line",
            "none in members",
            config_change_bytes_s,
            "B/s",
            "9,000 B/s in all",
            COMPUTED,
            "deltas (today's)",
        ),
        Line(
            "processor: gossip",
            "8 exchanges/s",
            f"{values['gossip_cpu 100']:.3%} at 100 VMs, "
            f"{values['gossip_cpu 1000']:.3%} at 1,000",
            gossip_percent,
            "% of a core",
            "4.7% in all",
            MEASURED + " at 528 VMs, without sockets",
            "today's",
        ),
        Line(
            "processor: gossip with sockets, without decisions",
            "8 calls asked and 8 answered a second",
            "none in members",
            values["call_cpu"] * 100,
            "% of a core",
            "4.7% in all",
            MEASURED + " over loopback",
            "today's",
        ),
        Line(
            "processor: ranks",
            "restarts/s x (one VM goes + one comes)",
            "with the VMs of one data centre",
            rank_percent,
            "% of a core",
            "4.7% in all",
            COMPUTED,
            "only touched slots (today's)",
        ),
        Line(
            "processor: look-up function",
            "350 look-ups/s x one call",
            f"{values['call_us']:.2f} µs a call",
            look_up_percent,
            "% of a core",
            "25% with HTTP",
            COMPUTED + "; HTTP not measured here",
            "today's",
        ),
        Line(
            "time: a change is in force everywhere",
            "gossip rounds + one fetch",
            f"{values['change_s 100']:.2f} s at 100 VMs, "
            f"{values['change_s 1000']:.2f} s at 1,000",
            values["change_s 4884"],
            "s",
            "15 s",
            MEASURED + " at 4,884 VMs, decisions alone",
            "gossip (today's)",
        ),
    ]
    return _table(
        lines,
        control_bytes=gossip_bytes_s + member_change_bytes_s + config_change_bytes_s,
    )


@registry.measurement("role: entry daemon, proxying")
def proxying(values: Mapping[str, float]) -> report.Report:
    """Compute the additional load of a daemon that proxies requests."""
    borrow_bytes = _call_bytes(values, "BorrowTokens", "Loans")
    # Demand is predicted every 250 ms; one peer is asked, and one peer asks.
    borrowing_bytes_s = 4 * 2 * borrow_bytes
    lines = [
        Line(
            "messages: tokens, one peer asked each 250 ms",
            "4/s x (asking + asked) x one call, all organisations in one message",
            f"{borrow_bytes:.0f} bytes a call",
            borrowing_bytes_s,
            "B/s",
            "9,000 B/s in all",
            ESTIMATE + " of the rate; the call is measured",
            "must hold for one peer at a time: within the data centre first, between "
            "data centres through one VM each (not built)",
        ),
        Line(
            "messages: tokens, all VMs of the data centre asked in parallel",
            "4/s x 110 x one call",
            "with the VMs of the data centre",
            4 * 110 * borrow_bytes,
            "B/s",
            "9,000 B/s in all",
            ESTIMATE,
            "does not reach the size: asking all peers is for today's fleets only",
        ),
        Line(
            "messages: reports of a move",
            "2/s x one call, while a move runs",
            "none in members",
            2 * _call_bytes(values, "ReportOutcomes", "Shares"),
            "B/s",
            "9,000 B/s in all",
            COMPUTED,
            "today's, see the steering VM",
        ),
        Line(
            "platform: operation records",
            "2 writes for each request of a `once` route",
            "with requests",
            2 * 1.0 * _VMS,
            "writes/s at 1 such request/s a VM",
            "several hundred writes/s",
            ESTIMATE,
            "does not reach the size beyond about 150 such requests/s in all; several "
            "records in one transaction lower the transactions, not the rows",
        ),
    ]
    return _table(lines)


@registry.measurement("role: the member that reads the platform")
def reader(values: Mapping[str, float]) -> report.Report:
    """Compute the reads of the VM that reads the platform for its data centre."""
    row_bytes = 150
    lines = [
        Line(
            "platform: head row",
            "2 reads/s x data centres",
            "2 reads/s per data centre",
            2.0 * _DATA_CENTRES,
            "reads/s",
            "2,000 reads/s",
            COMPUTED,
            "one reader for each data centre (today's)",
        ),
        Line(
            "platform: head row, if every VM read it",
            "2 reads/s x VMs",
            "2 reads/s per VM",
            2.0 * _VMS,
            "reads/s",
            "2,000 reads/s",
            COMPUTED,
            "does not reach the size; ruled out",
        ),
        Line(
            "messages: whole list of VMs, once in 30 s",
            "VMs x 150 bytes / 30 s",
            "with VMs",
            _VMS * row_bytes / 30,
            "B/s",
            "9,000 B/s in all",
            ESTIMATE,
            "does not reach the size if each VM reads it; needs a list for each data "
            "centre at the platform, read by its reader",
        ),
        Line(
            "messages: list of the own data centre, once in 30 s",
            "VMs of the data centre x 150 bytes / 30 s",
            "with the VMs of the data centre",
            _VMS_PER_DATA_CENTRE * row_bytes / 30,
            "B/s",
            "9,000 B/s in all",
            ESTIMATE,
            "not built: the platform has no such request today",
        ),
    ]
    return _table(lines)


@registry.measurement("role: holder of a lease")
def lease_holder(values: Mapping[str, float]) -> report.Report:
    """Compute the load of seat leases and of the steering VM."""
    report_bytes = _call_bytes(values, "ReportOutcomes", "Shares")
    cpu_us = values["us of ReportOutcomes"] + values["us of Shares"]
    lines = [
        Line(
            "platform: seat renewals, one row for each VM",
            "VMs / 3 s",
            "0.33 writes/s per VM",
            _VMS / 3,
            "writes/s",
            "several hundred writes/s",
            COMPUTED,
            "today's; at 300 writes/s it reaches about 900 VMs",
        ),
        Line(
            "platform: seat renewals, one row for each data centre",
            "data centres / 3 s",
            "0.33 writes/s per data centre",
            _DATA_CENTRES / 3,
            "writes/s",
            "several hundred writes/s",
            ESTIMATE,
            "the reader collects the renewals of its data centre (not built)",
        ),
        Line(
            "messages: seat renewals through the reader, at the reader",
            "VMs of the data centre / 3 s x one relayed call of 150 + 100 bytes",
            "with the VMs of the data centre",
            _VMS_PER_DATA_CENTRE / 3 * (250 + 2 * _HEADER_BYTES),
            "B/s",
            "9,000 B/s in all",
            ESTIMATE,
            "does not reach the size on top of gossip; renewals have to ride in the "
            "gossip that the VM sends anyway (not built)",
        ),
        Line(
            "messages: steering VM, every VM reports",
            "2/s x VMs x one call",
            f"{2 * report_bytes:.0f} B/s per VM",
            2 * _VMS * report_bytes,
            "B/s",
            "9,000 B/s in all",
            COMPUTED,
            "today's; reaches about "
            f"{int((9000 - values['gossip_bytes 10']) / (2 * report_bytes))} VMs",
        ),
        Line(
            "processor: steering VM, every VM reports",
            "2/s x VMs x decode and encode",
            f"{cpu_us:.0f} µs a report",
            2 * _VMS * cpu_us / 1e4,
            "% of a core",
            "4.7% in all",
            COMPUTED,
            "does not reach the size",
        ),
        Line(
            "messages: steering VM, eight VMs report once a second",
            "8/s x one call",
            "none in members",
            8 * report_bytes,
            "B/s",
            "9,000 B/s in all",
            ESTIMATE,
            "canary on at most eight VMs at a time; the share of the ramp travels "
            "with gossip (not built)",
        ),
    ]
    return _table(lines)


@registry.measurement("role: operator's command")
def command(values: Mapping[str, float]) -> report.Report:
    """Compute the cost of a change for the accepting daemon and for the platform."""
    push_bytes = _call_bytes(values, "PushConfiguration", "Loans")
    lines = [
        Line(
            "platform: writes",
            "3 x changes/s: text, delta, head row",
            "3 per change",
            3 * _CHANGES_PER_S,
            "writes/s",
            "several hundred writes/s",
            COMPUTED,
            "today's",
        ),
        Line(
            "messages: push to every VM",
            "changes/s x VMs x one call",
            f"{push_bytes:.0f} bytes per VM and change",
            _CHANGES_PER_S * _VMS * push_bytes,
            "B/s",
            "9,000 B/s in all",
            COMPUTED,
            "does not reach the size if one daemon takes all changes",
        ),
        Line(
            "messages: push to one VM of each data centre",
            "changes/s x data centres x one call",
            f"{_CHANGES_PER_S * push_bytes:.0f} B/s per data centre",
            _CHANGES_PER_S * _DATA_CENTRES * push_bytes,
            "B/s",
            "9,000 B/s in all",
            ESTIMATE,
            "gossip brings it to the others; a majority of data centres is all that "
            "an acceptance needs",
        ),
        Line(
            "memory and processor of the command",
            "one HTTP request to one daemon",
            "with the lines of the rule text",
            values["bytes of ConfigurationData"],
            "bytes, rule text of 2,000 lines, compressed",
            "1 MiB a frame",
            MEASURED,
            "today's",
        ),
    ]
    return _table(lines)
