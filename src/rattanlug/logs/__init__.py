"""Log lines as JSON."""
