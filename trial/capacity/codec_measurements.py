"""Encoded size and codec time of the peer messages."""

import time
from collections.abc import Mapping

from rattanlug.configuration import configuration_state, delta
from rattanlug.peer import codec, configuration_messages, data_centre_ages, framing
from rattanlug.peer.generated import ttypes
from trial.capacity import registry, report

_REPEATS = 3000


def _gossip(data_centres, updates):
    names = [f"region{i // 2:02d}-{i % 2 + 1}" for i in range(data_centres)]
    message = ttypes.Gossip(
        1_790_000_000_000, 2, None, 100_000, 700, 100_000, load=250, bucket=63
    )
    message.bucket_digest = -(2**31) + 7
    data_centre_ages.encode_ages(message, dict.fromkeys(names, 0.7), names)
    if updates:
        message.members = [
            ttypes.MemberUpdate(
                f"entry-{i:04d}.{names[0]}",
                1_790_000_000_000,
                700,
                None,
                2,
                names[0],
                f"10.0.0.{i}",
                8080,
                None,
                8081,
                1,
                100_000,
            )
            for i in range(updates)
        ]
    return message


def _sample_messages():
    configuration = configuration_state.ConfigurationState()
    lines = [f"upstream u-{i:04d} service=listings slots=5  # Jon" for i in range(2000)]
    text = "".join(line + "\n" for line in lines)
    configuration.offer(1, delta.text_digest(text), text, 0.0)
    line_delta = delta.make_delta(text, text.replace("slots=5", "slots=6", 1), 1)
    loan = ttypes.LoanIdentity("region00-1/7", 12, 345_678)
    return {
        "Gossip, response, 6 data centres": _gossip(6, 0),
        "Gossip, response, 44 data centres": _gossip(44, 0),
        "Gossip, response, 44 data centres, 10 updates": _gossip(44, 10),
        "BorrowTokens, 2 organisations, 2 settlements": ttypes.BorrowTokens(
            [ttypes.TokenRequest("urdina", 3.5)] * 2,
            [ttypes.Settlement(loan, "urdina", 0.5)] * 2,
        ),
        "Loans, 2": ttypes.Loans([ttypes.Loan(loan, "urdina", 3.5)] * 2),
        "ReportOutcomes, 4 routes of 2 versions": ttypes.ReportOutcomes(
            "listings-v2", [ttypes.OutcomeCount("view", "v1", 100_000, 100, 1000)] * 8
        ),
        "Shares, 4 routes": ttypes.Shares(
            "listings-v2", "canary", 7, 0.005, [ttypes.Allowance("view", 40)] * 4
        ),
        "PushConfiguration, delta of one line": ttypes.PushConfiguration(
            ttypes.ConfigurationData(
                2,
                line_delta.digest,
                deltas=[
                    ttypes.ConfigurationDelta(1, 2, line_delta.digest, line_delta.text)
                ],
            )
        ),
        "ConfigurationData, full text of 2,000 lines": (
            configuration_messages.to_message(configuration)
        ),
    }


@registry.measurement("messages")
def measure_messages(values: Mapping[str, float]) -> report.Report:
    """Measure frame size and codec time with and without the C module."""
    rows, figures = [], {}
    c_factory = codec._FACTORY
    for name, message in _sample_messages().items():
        data = codec.encode(1_000_000, "entry-0001.region00-1", message)
        times = []
        for factory in (c_factory, codec.pure_python_factory()):
            codec._FACTORY = factory
            repeats = _REPEATS if factory is c_factory else _REPEATS // 10
            started = time.process_time()
            for _ in range(repeats):
                codec.decode(codec.encode(1, "entry-0001.region00-1", message))
            times.append((time.process_time() - started) / repeats * 1e6)
        codec._FACTORY = c_factory
        size = len(framing.frame(data))
        rows.append([name, size, *times])
        figures[f"bytes of {name.split(',')[0]}"] = size
        figures[f"us of {name.split(',')[0]}"] = times[0]
    return report.Report(
        ["message", "frame, bytes", "encode and decode, µs", "pure Python, µs"],
        rows,
        figures,
    )
