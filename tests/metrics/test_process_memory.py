"""Tests of reading the private memory of the process."""

from rattanlug.metrics import process_memory

MEBIBYTE = 1 << 20


def test_private_memory_contains_what_the_process_allocates():
    before = process_memory.private_bytes()
    held = bytearray(b"x") * (64 * MEBIBYTE)
    assert process_memory.private_bytes() - before >= 0.9 * len(held)
