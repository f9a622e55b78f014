"""Counters and histograms of one process and their text exposition."""
