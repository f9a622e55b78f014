"""Settings of one process, read from a JSON file and checked."""
