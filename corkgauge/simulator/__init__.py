"""Adapter that connects the gateway's decisions to an external simulator."""
