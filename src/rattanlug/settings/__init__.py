"""Settings of a process: the records, and the loader of the JSON settings file."""
