"""Types of single settings; ``checks`` has a check for each."""

from typing import NewType

Name = NewType("Name", str)
Host = NewType("Host", str)
Port = NewType("Port", int)
Digest = NewType("Digest", str)
LogLevel = NewType("LogLevel", str)
