"""Measurements for the tables of docs/CAPACITY.md."""
