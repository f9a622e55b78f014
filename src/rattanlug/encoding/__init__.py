"""Decoding of data that other programs wrote."""
