"""Stand-ins for engines, control feed and clients on loopback, and a checker of the rules."""
