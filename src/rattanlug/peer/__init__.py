"""Messages between daemons: codec, framing, client and server."""
