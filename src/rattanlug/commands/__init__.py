"""The operators' command line, one module for each command."""
