"""Leases: exclusive duties in the fleet, each granted to one instance by a majority of voters."""
