"""Which other instances there are and which are alive: SWIM with Lifeguard."""
