"""Leases: what one instance does at a time, granted by a majority of voters."""
