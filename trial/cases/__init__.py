"""Cases in which a real process of the daemon may end or leave a caller unanswered."""
