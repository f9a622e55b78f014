"""Small stand-ins for the users' platform: its store and its upstreams."""
