"""Tests of the log handler that never blocks."""

import logging
import os

from rattanlug.logs import non_blocking


def record(text):
    return logging.LogRecord("n", logging.INFO, "f", 1, text, (), None)


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while chunk := os.read(descriptor, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return data


def test_lines_are_dropped_when_the_pipe_is_full_and_the_others_are_complete():
    reader, writer = os.pipe()
    handler = non_blocking.NonBlockingHandler(writer)
    line = "x" * 3000
    for index in range(60):
        handler.emit(record(f"{index} {line}"))
    assert handler.dropped > 0
    seen = read_all(reader)
    handler.emit(record("after"))
    seen += read_all(reader)
    lines = seen.decode().splitlines()
    assert lines[-1] == "after"
    assert all(each.endswith(line) for each in lines[:-1])
    assert len(lines) - 1 + handler.dropped == 60
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    handler = non_blocking.NonBlockingHandler(writer)
    handler.emit(record("text"))
    assert handler.dropped == 1
    os.close(writer)
