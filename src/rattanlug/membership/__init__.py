"""Membership of the fleet: failure detection and the choice of gossip peers."""
