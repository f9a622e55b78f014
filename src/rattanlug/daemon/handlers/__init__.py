"""Answers to messages of other daemons, one module per kind of message."""
