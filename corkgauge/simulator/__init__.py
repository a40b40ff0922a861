"""The drill ground: the gateway's decisions on the simulator's wire."""
