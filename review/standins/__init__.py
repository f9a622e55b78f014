"""Stand-ins for clients, backends and the platform, and the daemons of a case."""
