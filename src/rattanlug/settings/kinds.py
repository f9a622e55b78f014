"""Types of single settings, each with its own check."""

from typing import NewType

Name = NewType("Name", str)
Host = NewType("Host", str)
Port = NewType("Port", int)
Digest = NewType("Digest", str)
LogLevel = NewType("LogLevel", str)
