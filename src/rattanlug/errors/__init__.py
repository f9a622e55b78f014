"""The closed list of error kinds, the exception tree and the table of answers."""
